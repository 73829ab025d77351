package control

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/placement"
)

const (
	// maxBeacon is the size of the largest beacon accepted.
	maxBeacon = 512
	// beaconFormat is the first byte of a beacon; other formats are refused.
	beaconFormat = 2
)

// Beacon is what a daemon tells of itself.
type Beacon struct {
	// Address is the control address of the sender, taken from the datagram.
	Address string
	Domain  id.Domain
	// Boot tells two runs of a daemon apart; Sequence orders the beacons of one.
	Boot     uint64
	Sequence uint64
	Revision mirror.Revision
	// StoreAge is the time since the sender's copy was known to be current.
	StoreAge time.Duration
	// ReadAge is the time since the sender itself last read the store.
	ReadAge time.Duration
	// Link is what the sender's network link carries.
	Link link.Rate
	Load placement.Report
	// Received is when the beacon arrived.
	Received id.Instant
}

// fixedBeacon is the part of a beacon that has a fixed size. The failure domain
// and the backend server follow as text, each with its length in front.
type fixedBeacon struct {
	Format        uint8
	Leaving       bool
	Running       uint16
	Queued        uint16
	Slots         uint16
	ServiceMicros uint32
	FailPermille  uint16
	PeriodMS      uint16
	LinkWaitMS    uint16
	TransferMS    uint16
	StoreAgeMS    uint32
	ReadAgeMS     uint32
	LinkKBps      uint32
	Boot          uint64
	Sequence      uint32
	Revision      uint64
}

const (
	maxText    = 255
	bytesPerKB = 1000
	permille   = 1000
)

func encodeBeacon(beacon Beacon) []byte {
	var out bytes.Buffer
	load := beacon.Load
	fixed := fixedBeacon{
		Format: beaconFormat, Leaving: load.Leaving,
		Running: clamp[uint16](load.Running), Queued: clamp[uint16](load.Queued), Slots: clamp[uint16](load.Slots),
		ServiceMicros: clamp[uint32](load.Service.Microseconds()),
		PeriodMS:      clamp[uint16](load.Period.Milliseconds()),
		FailPermille:  clamp[uint16](int(load.Failures * permille)),
		LinkWaitMS:    clamp[uint16](load.LinkWait.Milliseconds()), TransferMS: clamp[uint16](load.Transfer.Milliseconds()), StoreAgeMS: clamp[uint32](beacon.StoreAge.Milliseconds()),
		ReadAgeMS: clamp[uint32](beacon.ReadAge.Milliseconds()),
		LinkKBps:  clamp[uint32](int64(beacon.Link / bytesPerKB)),
		Boot:      beacon.Boot, Sequence: uint32(beacon.Sequence), Revision: uint64(beacon.Revision),
	}
	// Writing to a buffer cannot fail.
	_ = binary.Write(&out, binary.BigEndian, &fixed)
	for _, text := range []string{string(beacon.Domain), string(load.Server)} {
		text = text[:min(len(text), maxText)]
		out.WriteByte(byte(len(text)))
		out.WriteString(text)
	}
	return out.Bytes()
}

// clamp keeps a count within the range of its field.
func clamp[U uint16 | uint32, V int | int64](value V) U {
	return U(max(0, min(uint64(max(0, value)), uint64(^U(0)))))
}

var errBeacon = errors.New("beacon: unknown format; run the same release on all hosts")

func decodeBeacon(data []byte) (Beacon, error) {
	in := bytes.NewReader(data)
	var fixed fixedBeacon
	if err := binary.Read(in, binary.BigEndian, &fixed); err != nil {
		return Beacon{}, fmt.Errorf("beacon: %w", err)
	}
	if fixed.Format != beaconFormat {
		return Beacon{}, errBeacon
	}
	domain, err := readText(in)
	if err != nil {
		return Beacon{}, err
	}
	server, err := readText(in)
	if err != nil {
		return Beacon{}, err
	}
	return Beacon{
		Domain: id.Domain(domain), Boot: fixed.Boot, Sequence: uint64(fixed.Sequence),
		Revision: mirror.Revision(fixed.Revision),
		StoreAge: time.Duration(fixed.StoreAgeMS) * time.Millisecond,
		ReadAge:  time.Duration(fixed.ReadAgeMS) * time.Millisecond,
		Link:     link.Rate(fixed.LinkKBps) * bytesPerKB,
		Load: placement.Report{
			Server: backend.ID(server), Leaving: fixed.Leaving,
			Running: int(fixed.Running), Queued: int(fixed.Queued), Slots: int(fixed.Slots),
			Service:  time.Duration(fixed.ServiceMicros) * time.Microsecond,
			Period:   time.Duration(fixed.PeriodMS) * time.Millisecond,
			Failures: float64(fixed.FailPermille) / permille,
			LinkWait: time.Duration(fixed.LinkWaitMS) * time.Millisecond,
			Transfer: time.Duration(fixed.TransferMS) * time.Millisecond,
		},
	}, nil
}

func readText(in *bytes.Reader) (string, error) {
	length, err := in.ReadByte()
	if err != nil {
		return "", fmt.Errorf("beacon: %w", err)
	}
	text := make([]byte, length)
	if n, err := in.Read(text); n < len(text) {
		return "", fmt.Errorf("beacon: text is cut off: %w", err)
	}
	return string(text), nil
}
