package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// defaultTokens is the number of tokens of an answer whose body names none.
const defaultTokens = 16

// answerHeader is the text before the content digest in the first token.
const answerHeader = "weights="

// ContentDigest returns the digest that the engine's answers carry after it
// loaded files with these digests, base before adapter. Files that are chunks
// of a manifest have the digests that the manifest lists.
func ContentDigest(files ...model.Digest) model.Digest {
	buf := make([]byte, 0, len(files)*model.DigestSize)
	for _, f := range files {
		buf = append(buf, f[:]...)
	}
	return model.Sum(buf)
}

// TokenCount returns the number of tokens of the answer to a body: its
// max_tokens field, or a default.
func TokenCount(body []byte) int {
	var b struct {
		MaxTokens int `json:"max_tokens"`
	}
	if json.Unmarshal(body, &b) != nil || b.MaxTokens <= 0 {
		return defaultTokens
	}
	return b.MaxTokens
}

// token returns one token of an answer. The first carries the digest.
func token(content model.Digest, body []byte, index int) []byte {
	if index == 0 {
		return []byte(answerHeader + content.String() + "\n")
	}
	sum := model.Sum(body)
	buf := append(content[:], sum[:]...)
	buf = binary.BigEndian.AppendUint32(buf, uint32(index))
	sum = model.Sum(buf)
	return []byte(hex.EncodeToString(sum[:4]) + " ")
}

// ExpectedAnswer returns the whole answer to a body of an engine that loaded
// the given content and nothing else.
func ExpectedAnswer(content model.Digest, body []byte) []byte {
	var b bytes.Buffer
	for i := range TokenCount(body) {
		b.Write(token(content, body, i))
	}
	return b.Bytes()
}

// AnswerContent returns the content digest that an answer carries.
func AnswerContent(answer []byte) (model.Digest, error) {
	rest, ok := bytes.CutPrefix(answer, []byte(answerHeader))
	if !ok || len(rest) < 2*model.DigestSize {
		return model.Digest{}, merry.New("answer has no weights digest")
	}
	return model.ParseDigest(string(rest[:2*model.DigestSize]))
}
