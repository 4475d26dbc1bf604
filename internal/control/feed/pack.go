package feed

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// maxUnpackedBytes bounds the decompressed size of packed settings. The settings of
// 33,000 customers take 5.5 MB.
const maxUnpackedBytes = 256 << 20

// PackSettings encodes settings in the form of FeedResponse.PackedSnapshot.
func PackSettings(s *controlv1.Settings) []byte {
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	// Errors can be ignored: settings read from the state always marshal, and writes
	// to memory do not fail.
	encoded, _ := proto.Marshal(s)
	_, _ = w.Write(encoded)
	_ = w.Close()
	return b.Bytes()
}

// UnpackSettings decodes settings that PackSettings encoded.
func UnpackSettings(packed []byte) (*controlv1.Settings, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, Error.New("open packed settings: %w", err)
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, Error.New("decompress packed settings: %w", err)
	}
	if len(encoded) > maxUnpackedBytes {
		return nil, Error.New("packed settings exceed %d bytes", maxUnpackedBytes)
	}
	s := &controlv1.Settings{}
	if err := proto.Unmarshal(encoded, s); err != nil {
		return nil, Error.New("decode packed settings: %w", err)
	}
	return s, nil
}
