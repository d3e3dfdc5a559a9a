package wire

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds how deep the lists and maps of a frame are nested. The codec skips values recursively, so that a frame of
// nested lists would exceed the largest stack.
const maxDepth = 64

var (
	// errDepth means that lists and maps are nested deeper than maxDepth.
	errDepth = errors.New("lists or maps are nested too deep")
	// errLength means that a message states more bytes or elements than follow.
	errLength = errors.New("a stated length exceeds the message")
)

// Unmarshal decodes a peer's message. It checks the lengths that the message states first, since the codec allocates lists
// by them.
func Unmarshal(body []byte, into any) error {
	if err := checkStructure(body); err != nil {
		return err
	}
	return errors.WithStack(msgpack.Unmarshal(body, into))
}

// checkStructure returns an error if the first value in b is not whole, states a length that exceeds b or is nested too
// deep. It follows no value recursively and allocates nothing.
func checkStructure(b []byte) error {
	// missing counts, by depth, the values that are still missing, and total is their sum. Each takes a byte at least.
	missing, depth, total := [maxDepth + 1]int{1}, 0, 1
	for total > 0 {
		if total > len(b) {
			return errors.WithStack(errLength)
		}
		for missing[depth] == 0 {
			depth--
		}
		missing[depth]--
		total--
		f := &forms[b[0]]
		if !f.known {
			return errors.Errorf("unknown code %#x", b[0])
		}
		head := 1 + f.digits
		if head > len(b) {
			return errors.WithStack(errLength)
		}
		size, elements := f.size, f.elements
		if f.digits > 0 {
			n := number(b[1:head])
			size += n * f.bytesEach
			elements += n * f.elementsEach
		}
		if size > len(b)-head {
			return errors.WithStack(errLength)
		}
		b = b[head+size:]
		if elements > 0 {
			if depth == maxDepth {
				return errors.WithStack(errDepth)
			}
			depth++
			missing[depth] = elements
			total += elements
		}
	}
	return nil
}

// number decodes a length of 1, 2 or 4 bytes.
func number(b []byte) int {
	switch len(b) {
	case 1:
		return int(b[0])
	case 2:
		return int(binary.BigEndian.Uint16(b))
	}
	return int(binary.BigEndian.Uint32(b))
}

// form is what follows a code of msgpack.
type form struct {
	known bool
	// digits is the number of bytes of a stated length.
	digits int
	// size is the number of bytes that always follow, and elements that of the values. bytesEach and elementsEach are those
	// that the stated length adds for each unit.
	size, elements, bytesEach, elementsEach int
}

// forms are the forms of all codes.
var forms = newForms()

func newForms() (out [256]form) {
	for i := range out {
		c := byte(i)
		switch {
		case msgpcode.IsFixedNum(c):
			out[c] = form{known: true}
		case msgpcode.IsFixedString(c):
			out[c] = form{known: true, size: int(c & msgpcode.FixedStrMask)}
		case msgpcode.IsFixedArray(c):
			out[c] = form{known: true, elements: int(c & msgpcode.FixedArrayMask)}
		case msgpcode.IsFixedMap(c):
			out[c] = form{known: true, elements: 2 * int(c&msgpcode.FixedMapMask)}
		}
	}
	for _, c := range []byte{msgpcode.Nil, msgpcode.False, msgpcode.True} {
		out[c] = form{known: true}
	}
	for size, codes := range map[int][]byte{
		1: {msgpcode.Uint8, msgpcode.Int8}, 2: {msgpcode.Uint16, msgpcode.Int16},
		4: {msgpcode.Uint32, msgpcode.Int32, msgpcode.Float}, 8: {msgpcode.Uint64, msgpcode.Int64, msgpcode.Double},
	} {
		for _, c := range codes {
			out[c] = form{known: true, size: size}
		}
	}
	// The type of an extension takes a byte.
	for i, c := range []byte{msgpcode.FixExt1, msgpcode.FixExt2, msgpcode.FixExt4, msgpcode.FixExt8, msgpcode.FixExt16} {
		out[c] = form{known: true, size: 1 + 1<<i}
	}
	for i, digits := range []int{1, 2, 4} {
		for _, c := range []byte{
			[]byte{msgpcode.Str8, msgpcode.Str16, msgpcode.Str32}[i], []byte{msgpcode.Bin8, msgpcode.Bin16, msgpcode.Bin32}[i],
		} {
			out[c] = form{known: true, digits: digits, bytesEach: 1}
		}
		out[[]byte{msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32}[i]] = form{known: true, digits: digits, size: 1, bytesEach: 1}
	}
	for i, digits := range []int{2, 4} {
		out[[]byte{msgpcode.Array16, msgpcode.Array32}[i]] = form{known: true, digits: digits, elementsEach: 1}
		out[[]byte{msgpcode.Map16, msgpcode.Map32}[i]] = form{known: true, digits: digits, elementsEach: 2}
	}
	return out
}
