package load

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// DateKeys makes the idempotency keys of calls UUIDs of version 7, whose time
// is the first arrival of the key after the start. The mesh runs a key soon
// after its own start only when the key tells that it is younger.
func DateKeys(calls []Call, start time.Time) {
	dated := map[string]string{}
	for i := range calls {
		key := calls[i].Key
		if key == "" {
			continue
		}
		if dated[key] == "" {
			dated[key] = uuid7(start.Add(calls[i].At), key)
		}
		calls[i].Key = dated[key]
	}
}

// uuid7 returns a UUID of version 7 with the time and bits of the text's hash.
func uuid7(at time.Time, text string) string {
	const variant = 0x8000
	millis := uint64(at.UnixMilli())
	sum := sha256.Sum256([]byte(text))
	low := uint16(sum[2])<<8&0x3fff | uint16(sum[3])
	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%x", millis>>16, millis&0xffff,
		(uint16(sum[0])<<8|uint16(sum[1]))&0xfff, variant|low, sum[4:10])
}
