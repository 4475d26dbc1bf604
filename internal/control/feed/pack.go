package feed

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// maxUnpacked bounds the settings that a packed snapshot may hold. 33,000
// customers take 5.5 MB.
const maxUnpacked = 256 << 20

// Pack returns the settings in the form of FeedResponse.PackedSnapshot.
func Pack(s *controlv1.Settings) []byte {
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	// Neither a message that was read from the state nor a write to memory fails.
	encoded, _ := proto.Marshal(s)
	_, _ = w.Write(encoded)
	_ = w.Close()
	return b.Bytes()
}

// Unpack reads what Pack has written.
func Unpack(packed []byte) (*controlv1.Settings, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, Error.New("packed settings: %w", err)
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, Error.New("packed settings: %w", err)
	}
	if len(encoded) > maxUnpacked {
		return nil, Error.New("packed settings exceed %d bytes", maxUnpacked)
	}
	s := &controlv1.Settings{}
	if err := proto.Unmarshal(encoded, s); err != nil {
		return nil, Error.New("packed settings: %w", err)
	}
	return s, nil
}
