package etcd

import (
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

// Watch follows changes from a revision on. It returns store.ErrCompacted
// when that revision is no longer kept, deliver's error, or
// store.ErrUnavailable for every other end.
func (s *Store) Watch(ctx context.Context, prefix string, fromRevision int64, deliver func(store.WatchBatch) error) error {
	request := watchRequest{CreateRequest: watchCreateRequest{
		Key:            []byte(prefix),
		RangeEnd:       prefixEnd(prefix),
		StartRevision:  integer(fromRevision),
		ProgressNotify: true,
	}}
	response, err := s.post(ctx, watchPath, request)
	if err != nil {
		return eris.Wrapf(unavailable(err), "watch %s", prefix)
	}
	defer func() { _ = response.Body.Close() }()
	stream := &boundedReader{source: response.Body}
	decoder := json.NewDecoder(stream)
	for {
		stream.left = maxReplyBytes
		var message watchMessage
		if err := decoder.Decode(&message); err != nil {
			return eris.Wrapf(unavailable(err), "watch %s", prefix)
		}
		if err := deliverMessage(&message, deliver); err != nil {
			return eris.Wrapf(err, "watch %s", prefix)
		}
	}
}

func deliverMessage(message *watchMessage, deliver func(store.WatchBatch) error) error {
	if message.Error != nil {
		return unavailable(eris.Errorf("the gateway's error: %s", message.Error.Message))
	}
	result := &message.Result
	if result.CompactRevision > 0 {
		return eris.Wrapf(store.ErrCompacted, "compacted at %d", result.CompactRevision)
	}
	if result.Canceled {
		return unavailable(eris.Errorf("canceled by the store: %s", result.CancelReason))
	}
	if len(result.Events) == 0 {
		return nil // created, or a progress notice
	}
	return deliver(batch(result))
}

func batch(result *watchResult) store.WatchBatch {
	converted := store.WatchBatch{Revision: int64(result.Header.Revision)}
	for _, event := range result.Events {
		converted.Events = append(converted.Events, store.Event{
			KeyValue: fromGateway(event.Kv),
			Deleted:  event.Type == eventDelete,
		})
	}
	return converted
}

// boundedReader ends a stream whose present message is over the bound.
type boundedReader struct {
	source io.Reader
	left   int
}

// Read reads from the source while bytes are left.
func (b *boundedReader) Read(buffer []byte) (int, error) {
	if b.left <= 0 {
		return 0, eris.Errorf("a watch message is over %d bytes", maxReplyBytes)
	}
	if len(buffer) > b.left {
		buffer = buffer[:b.left]
	}
	count, err := b.source.Read(buffer)
	b.left -= count
	return count, err
}
