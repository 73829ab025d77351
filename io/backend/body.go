package backend

import (
	"io"
	"sync"
)

// slotBody is a response body that frees the slot of its call when it is closed.
type slotBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Close closes the body and frees the slot.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}

// opaqueBody hides the type of a request body, so that net/http can't tell that it
// is absent or can be read again.
type opaqueBody struct{ io.ReadCloser }
