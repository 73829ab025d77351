package backend

import (
	"io"
	"sync"
)

// slotBody frees the slot of a call when its answer is closed.
type slotBody struct {
	io.ReadCloser
	leave func()
	once  sync.Once
}

// Close closes the answer and frees the slot.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.leave)
	return err
}

// onceBody is a request body that net/http can't read a second time.
type onceBody struct{ io.ReadCloser }
