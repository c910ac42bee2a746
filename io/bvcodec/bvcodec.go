// Package bvcodec encodes the messages between balancers as CBOR, for use with
// connect.
//
// Decoding is strict: repeated keys, tags and items of indefinite length are
// errors, and the number and depth of items are bounded.
//
// # Usage
//
//	client := connect.NewClient[request, answer](http, url, connect.WithCodec(bvcodec.New()))
package bvcodec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Codec encodes messages as CBOR. It implements connect.Codec.
type Codec struct {
	decoding cbor.DecMode
}

// New returns the codec.
func New() Codec {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: 1 << 18, // Enough for a listing of 140,000 upstreams.
		MaxMapPairs:      1024,
		MaxNestedLevels:  8,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return Codec{decoding: m}
}

// Name implements connect.Codec.
func (Codec) Name() string { return "cbor" }

// Marshal implements connect.Codec.
func (Codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal implements connect.Codec.
func (c Codec) Unmarshal(b []byte, v any) error {
	return eris.Wrap(c.decoding.Unmarshal(b, v), "bvcodec: decoding message")
}
