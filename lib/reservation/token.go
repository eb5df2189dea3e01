package reservation

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// ErrMalformed means that a string is not a valid token.
var ErrMalformed = merry.New("malformed reservation token")

// Process identifies one generation of an instance.
type Process struct {
	Instance   model.InstanceID `msgpack:"i"`
	Generation model.Generation `msgpack:"g"`
}

// Token permits one run on one generation of an agent.
type Token struct {
	Issuer   Process `msgpack:"i"`
	Agent    Process `msgpack:"a"`
	Sequence uint64  `msgpack:"s"`
}

// tokenFields is the number of fields of an encoded token.
const tokenFields = 5

// String returns the encoded token, which ParseToken decodes.
func (t Token) String() string {
	return fmt.Sprintf("%s~%x~%s~%x~%x", t.Issuer.Instance, uint64(t.Issuer.Generation), t.Agent.Instance, uint64(t.Agent.Generation), t.Sequence)
}

// ParseToken decodes a token encoded by Token.String. It returns ErrMalformed
// if s is invalid.
func ParseToken(s string) (Token, error) {
	f := strings.Split(s, "~")
	if len(f) != tokenFields || f[0] == "" || f[2] == "" {
		return Token{}, merry.Wrap(ErrMalformed, merry.AppendMessagef("%q", s))
	}
	var numbers [3]uint64
	for i, field := range []string{f[1], f[3], f[4]} {
		n, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			return Token{}, merry.Wrap(ErrMalformed, merry.AppendMessagef("%q", s), merry.WithCause(err))
		}
		numbers[i] = n
	}
	return Token{
		Issuer:   Process{model.InstanceID(f[0]), model.Generation(numbers[0])},
		Agent:    Process{model.InstanceID(f[2]), model.Generation(numbers[1])},
		Sequence: numbers[2],
	}, nil
}
