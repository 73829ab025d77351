package snapshot

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// windowBytes bounds the memory of an encoder and of the decoders of its output. A
// whole configuration of the target size is about one megabyte.
const windowBytes = 1 << 20

// The encoder and the decoder are created once: each has tables of several megabytes,
// which would otherwise be allocated at every change.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false),
			zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxPayloadBytes),
			zstd.WithDecoderLowmem(true))
	})
)

func compress(data []byte) ([]byte, error) {
	shared, err := encoder()
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return shared.EncodeAll(data, nil), nil
}

func decompress(data []byte) ([]byte, error) {
	shared, err := decoder()
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	out, err := shared.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return out, nil
}
