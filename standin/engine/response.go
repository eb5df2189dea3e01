package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// defaultTokens is the number of response tokens if the request does not set
// max_tokens.
const defaultTokens = 16

// responsePrefix precedes the content digest in the first token of a response.
const responsePrefix = "weights="

// ContentDigest returns the digest that responses contain after the engine has loaded
// files with the given digests, base before adapter. If the files are the chunks of a
// manifest, their digests are those in the manifest.
func ContentDigest(files ...model.Digest) model.Digest {
	buf := make([]byte, 0, len(files)*model.DigestSize)
	for _, f := range files {
		buf = append(buf, f[:]...)
	}
	return model.Sum(buf)
}

// TokenCount returns the number of response tokens for a request body: its max_tokens
// field, or a default.
func TokenCount(body []byte) int {
	var b struct {
		MaxTokens int `json:"max_tokens"`
	}
	if json.Unmarshal(body, &b) != nil || b.MaxTokens <= 0 {
		return defaultTokens
	}
	return b.MaxTokens
}

// token returns one token of a response. The first one contains the content digest.
func token(content model.Digest, body []byte, index int) []byte {
	if index == 0 {
		return []byte(responsePrefix + content.String() + "\n")
	}
	sum := model.Sum(body)
	buf := append(content[:], sum[:]...)
	buf = binary.BigEndian.AppendUint32(buf, uint32(index))
	sum = model.Sum(buf)
	return []byte(hex.EncodeToString(sum[:4]) + " ")
}

// ExpectedResponse returns the complete response to a request body from an engine that has
// loaded the given content and nothing else.
func ExpectedResponse(content model.Digest, body []byte) []byte {
	var b bytes.Buffer
	for i := range TokenCount(body) {
		b.Write(token(content, body, i))
	}
	return b.Bytes()
}

// ResponseContent returns the content digest from a response.
func ResponseContent(response []byte) (model.Digest, error) {
	rest, ok := bytes.CutPrefix(response, []byte(responsePrefix))
	if !ok || len(rest) < 2*model.DigestSize {
		return model.Digest{}, merry.New("response has no weights digest")
	}
	return model.ParseDigest(string(rest[:2*model.DigestSize]))
}
