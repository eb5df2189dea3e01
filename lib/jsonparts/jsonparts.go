// Package jsonparts splits JSON text into the members of an object or the items of an
// array without decoding them. A part that encoding/json rejects, because it is nested
// too deeply or is no valid value, then does not prevent the others from being decoded.
//
// It only looks at quotes and brackets, so that parts still have to be validated. It
// does not recurse and allocates nothing but the list of parts.
package jsonparts

import (
	"encoding/json"
	"errors"
)

// Errors of Object and Array.
var (
	ErrNotObject = errors.New("not a JSON object")
	ErrNotArray  = errors.New("not a JSON array")
)

// Member is one member of an object. Value is not validated.
type Member struct {
	Name  string
	Value []byte
}

// Object returns the members of an object in order, including those whose names occur
// twice. Values are parts of data.
func Object(data []byte) ([]Member, error) {
	s := splitter{data: data}
	if !s.consume('{') {
		return nil, ErrNotObject
	}
	var members []Member
	for first := true; ; first = false {
		if s.consume('}') {
			break
		}
		if !first && !s.consume(',') {
			return nil, ErrNotObject
		}
		var m Member
		name, ok := s.value()
		if !ok || json.Unmarshal(name, &m.Name) != nil || name[0] != '"' || !s.consume(':') {
			return nil, ErrNotObject
		}
		if m.Value, ok = s.value(); !ok {
			return nil, ErrNotObject
		}
		members = append(members, m)
	}
	if !s.atEnd() {
		return nil, ErrNotObject
	}
	return members, nil
}

// Array returns the items of an array. They are parts of data and not validated.
func Array(data []byte) ([][]byte, error) {
	s := splitter{data: data}
	if !s.consume('[') {
		return nil, ErrNotArray
	}
	var items [][]byte
	for first := true; ; first = false {
		if s.consume(']') {
			break
		}
		if !first && !s.consume(',') {
			return nil, ErrNotArray
		}
		item, ok := s.value()
		if !ok {
			return nil, ErrNotArray
		}
		items = append(items, item)
	}
	if !s.atEnd() {
		return nil, ErrNotArray
	}
	return items, nil
}
