package peer

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the maximum nesting depth of a message.
const maxDepth = 16

var errMalformed = eris.New("decode peer message: malformed or truncated msgpack")

// validateEncoding checks that body holds exactly one msgpack value, that no
// length in it exceeds the remaining bytes, and that it nests no deeper than
// maxDepth. It runs before decoding because the decoder allocates memory by the
// encoded lengths and recurses without a limit.
func validateEncoding(body []byte) error {
	// pending holds the number of values left to read at each depth.
	pending := []int{1}
	for len(pending) > 0 {
		depth := len(pending) - 1
		if pending[depth] == 0 {
			pending = pending[:depth]
			continue
		}
		pending[depth]--
		n, children, err := valueHeader(body)
		if err != nil {
			return err
		}
		body = body[n:]
		if children > len(body) || depth >= maxDepth {
			return errMalformed
		}
		pending = append(pending, children)
	}
	if len(body) > 0 {
		return errMalformed
	}
	return nil
}

// valueHeader returns the size in bytes of the first value without its children,
// and the number of children.
func valueHeader(body []byte) (n, children int, err error) {
	if len(body) == 0 {
		return 0, 0, errMalformed
	}
	code := body[0]
	switch {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.True, code == msgpcode.False:
		return 1, 0, nil
	case msgpcode.IsFixedMap(code):
		return 1, 2 * int(code&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(code):
		return 1, int(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(code):
		return scalar(body, 1+int(code&msgpcode.FixedStrMask))
	}
	if size, fixed := fixedSizes[code]; fixed {
		return scalar(body, size)
	}
	return prefixedHeader(body, code)
}

// fixedSizes maps a code to the encoded size of its values, including the code.
var fixedSizes = map[byte]int{
	msgpcode.Uint8: 2, msgpcode.Uint16: 3, msgpcode.Uint32: 5, msgpcode.Uint64: 9,
	msgpcode.Int8: 2, msgpcode.Int16: 3, msgpcode.Int32: 5, msgpcode.Int64: 9,
	msgpcode.Float: 5, msgpcode.Double: 9,
	msgpcode.FixExt1: 3, msgpcode.FixExt2: 4, msgpcode.FixExt4: 6, msgpcode.FixExt8: 10, msgpcode.FixExt16: 18,
}

// prefixedHeader is valueHeader for the codes that are followed by a length.
func prefixedHeader(body []byte, code byte) (n, children int, err error) {
	switch code {
	case msgpcode.Bin8, msgpcode.Str8:
		return lengthPrefixed(body, 1, 0)
	case msgpcode.Bin16, msgpcode.Str16:
		return lengthPrefixed(body, 2, 0)
	case msgpcode.Bin32, msgpcode.Str32:
		return lengthPrefixed(body, 4, 0)
	case msgpcode.Ext8:
		return lengthPrefixed(body, 1, 1)
	case msgpcode.Ext16:
		return lengthPrefixed(body, 2, 1)
	case msgpcode.Ext32:
		return lengthPrefixed(body, 4, 1)
	}
	switch code {
	case msgpcode.Array16, msgpcode.Map16:
		return containerHeader(body, code, 2)
	case msgpcode.Array32, msgpcode.Map32:
		return containerHeader(body, code, 4)
	default:
		return 0, 0, errMalformed
	}
}

// lengthPrefixed returns the size of a value that consists of a code, a length of
// lengthBytes bytes, extra bytes and the content.
func lengthPrefixed(body []byte, lengthBytes, extra int) (n, children int, err error) {
	length, err := lengthPrefix(body, lengthBytes)
	if err != nil {
		return 0, 0, err
	}
	return scalar(body, 1+lengthBytes+extra+length)
}

func containerHeader(body []byte, code byte, lengthBytes int) (n, children int, err error) {
	length, err := lengthPrefix(body, lengthBytes)
	if code == msgpcode.Map16 || code == msgpcode.Map32 {
		length *= 2
	}
	return 1 + lengthBytes, length, err
}

func lengthPrefix(body []byte, lengthBytes int) (int, error) {
	if len(body) < 1+lengthBytes {
		return 0, errMalformed
	}
	var padded [4]byte
	copy(padded[4-lengthBytes:], body[1:1+lengthBytes])
	return int(binary.BigEndian.Uint32(padded[:])), nil
}

// scalar returns size as the size of a value without children, or an error if body
// is shorter.
func scalar(body []byte, size int) (n, children int, err error) {
	if size > len(body) {
		return 0, 0, errMalformed
	}
	return size, 0, nil
}
