package peer

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/failure"
)

// encode returns the msgpack encoding of value. Fields without a msgpack tag use
// the name in their json tag.
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

// decode decodes body, which must hold exactly one msgpack value.
func decode(body []byte, into any) error {
	if err := validateEncoding(body); err != nil {
		return err
	}
	reader := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(reader)
	decoder.SetCustomStructTag("json")
	if err := decoder.Decode(into); err != nil {
		return eris.Wrap(err, "decode peer message")
	}
	if reader.Len() > 0 {
		return eris.Errorf("decode peer message: %d trailing bytes", reader.Len())
	}
	return nil
}

// readLimited reads body and fails if it is larger than limit bytes.
func readLimited(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read peer message")
	}
	if int64(len(content)) > limit {
		return nil, failure.New(failure.TooLarge, "peer message exceeds its size limit")
	}
	return content, nil
}
