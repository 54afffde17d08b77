package peer

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/failure"
)

// encode returns the msgpack of a value. Types shared with JSON documents are
// coded by their json names.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, eris.Wrap(err, "encode peer message")
	}
	return buffer.Bytes(), nil
}

// decode reads exactly one value of msgpack.
func decode(body []byte, into any) error {
	if err := checkShape(body); err != nil {
		return err
	}
	reader := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(reader)
	decoder.SetCustomStructTag("json")
	if err := decoder.Decode(into); err != nil {
		return eris.Wrap(err, "decode peer message")
	}
	if reader.Len() > 0 {
		return eris.Errorf("decode peer message: %d bytes after its end", reader.Len())
	}
	return nil
}

// readBounded reads a body of at most limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read peer message")
	}
	if int64(len(read)) > limit {
		return nil, failure.New(failure.TooLarge, "peer message is over its size limit")
	}
	return read, nil
}
