package etcd

import (
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

// Watch delivers changes from a revision on. Its error wraps store.ErrCompacted
// if that revision was compacted, the error of deliver, or store.ErrUnavailable
// if the watch ended for any other reason.
func (s *Store) Watch(ctx context.Context, prefix string, fromRevision int64, deliver func(store.WatchBatch) error) error {
	request := watchRequest{CreateRequest: watchCreateRequest{
		Key:            []byte(prefix),
		RangeEnd:       prefixEnd(prefix),
		StartRevision:  int64String(fromRevision),
		ProgressNotify: true,
	}}
	response, err := s.post(ctx, watchPath, request)
	if err != nil {
		return eris.Wrapf(asUnavailable(err), "watch %s", prefix)
	}
	defer func() { _ = response.Body.Close() }()
	stream := &boundedReader{source: response.Body}
	decoder := json.NewDecoder(stream)
	for {
		stream.remaining = maxReplyBytes
		var message watchMessage
		if err := decoder.Decode(&message); err != nil {
			return eris.Wrapf(asUnavailable(err), "watch %s", prefix)
		}
		if err := deliverWatchMessage(&message, deliver); err != nil {
			return eris.Wrapf(err, "watch %s", prefix)
		}
	}
}

func deliverWatchMessage(message *watchMessage, deliver func(store.WatchBatch) error) error {
	if message.Error != nil {
		return asUnavailable(eris.Errorf("gateway error: %s", message.Error.Message))
	}
	result := &message.Result
	if result.CompactRevision > 0 {
		return eris.Wrapf(store.ErrCompacted, "compacted at %d", result.CompactRevision)
	}
	if result.Canceled {
		return asUnavailable(eris.Errorf("watch canceled by the store: %s", result.CancelReason))
	}
	if len(result.Events) == 0 {
		return nil // creation or progress notification
	}
	return deliver(decodeBatch(result))
}

func decodeBatch(result *watchResult) store.WatchBatch {
	converted := store.WatchBatch{Revision: int64(result.Header.Revision)}
	for _, event := range result.Events {
		converted.Events = append(converted.Events, store.Event{
			KeyValue: keyValueFromGateway(event.Kv),
			Deleted:  event.Type == eventDelete,
		})
	}
	return converted
}

// boundedReader fails once remaining bytes have been read. Watch resets
// remaining for each message, which limits the message size.
type boundedReader struct {
	source    io.Reader
	remaining int
}

// Read reads from the source until remaining reaches zero.
func (b *boundedReader) Read(buffer []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, eris.Errorf("watch message exceeds %d bytes", maxReplyBytes)
	}
	if len(buffer) > b.remaining {
		buffer = buffer[:b.remaining]
	}
	count, err := b.source.Read(buffer)
	b.remaining -= count
	return count, err
}
