package peer

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maximumDepth is more than any message nests.
const maximumDepth = 16

var errShape = eris.New("decode peer message: not one whole msgpack value")

// checkShape walks one msgpack value before it is decoded, as the decoder
// reserves memory by the lengths that a body claims, and recurses as deep as
// it nests. It refuses a body that claims more than it holds, nests deeper
// than maximumDepth, or holds anything but one value.
func checkShape(body []byte) error {
	// pending has the number of values still to come at each depth.
	pending := []int{1}
	for len(pending) > 0 {
		depth := len(pending) - 1
		if pending[depth] == 0 {
			pending = pending[:depth]
			continue
		}
		pending[depth]--
		taken, children, err := headOf(body)
		if err != nil {
			return err
		}
		body = body[taken:]
		if children > len(body) || depth >= maximumDepth {
			return errShape
		}
		pending = append(pending, children)
	}
	if len(body) > 0 {
		return errShape
	}
	return nil
}

// headOf returns the bytes of a value without its children, and the number of
// these.
func headOf(body []byte) (taken, children int, err error) {
	if len(body) == 0 {
		return 0, 0, errShape
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
		return whole(body, 1+int(code&msgpcode.FixedStrMask))
	}
	if size, fixed := fixedSizes[code]; fixed {
		return whole(body, size)
	}
	return headOfCounted(body, code)
}

// fixedSizes has the whole size of each value whose code gives it.
var fixedSizes = map[byte]int{
	msgpcode.Uint8: 2, msgpcode.Uint16: 3, msgpcode.Uint32: 5, msgpcode.Uint64: 9,
	msgpcode.Int8: 2, msgpcode.Int16: 3, msgpcode.Int32: 5, msgpcode.Int64: 9,
	msgpcode.Float: 5, msgpcode.Double: 9,
	msgpcode.FixExt1: 3, msgpcode.FixExt2: 4, msgpcode.FixExt4: 6, msgpcode.FixExt8: 10, msgpcode.FixExt16: 18,
}

// headOfCounted handles the codes that a length follows.
func headOfCounted(body []byte, code byte) (taken, children int, err error) {
	switch code {
	case msgpcode.Bin8, msgpcode.Str8:
		return counted(body, 1, 0)
	case msgpcode.Bin16, msgpcode.Str16:
		return counted(body, 2, 0)
	case msgpcode.Bin32, msgpcode.Str32:
		return counted(body, 4, 0)
	case msgpcode.Ext8:
		return counted(body, 1, 1)
	case msgpcode.Ext16:
		return counted(body, 2, 1)
	case msgpcode.Ext32:
		return counted(body, 4, 1)
	}
	switch code {
	case msgpcode.Array16, msgpcode.Map16:
		return container(body, code, 2)
	case msgpcode.Array32, msgpcode.Map32:
		return container(body, code, 4)
	default:
		return 0, 0, errShape
	}
}

// counted takes a length of some bytes and as many bytes of content.
func counted(body []byte, lengthBytes, extra int) (taken, children int, err error) {
	length, err := lengthAt(body, lengthBytes)
	if err != nil {
		return 0, 0, err
	}
	return whole(body, 1+lengthBytes+extra+length)
}

func container(body []byte, code byte, lengthBytes int) (taken, children int, err error) {
	length, err := lengthAt(body, lengthBytes)
	if code == msgpcode.Map16 || code == msgpcode.Map32 {
		length *= 2
	}
	return 1 + lengthBytes, length, err
}

func lengthAt(body []byte, lengthBytes int) (int, error) {
	if len(body) < 1+lengthBytes {
		return 0, errShape
	}
	var wide [4]byte
	copy(wide[4-lengthBytes:], body[1:1+lengthBytes])
	return int(binary.BigEndian.Uint32(wide[:])), nil
}

func whole(body []byte, size int) (taken, children int, err error) {
	if size > len(body) {
		return 0, 0, errShape
	}
	return size, 0, nil
}
