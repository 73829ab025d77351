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
	maxBeacon = 2 << 10
	// beaconFormat is the first byte of a beacon; other formats are refused.
	beaconFormat = 3
	// maxListed bounds each list of a beacon.
	maxListed = 64
)

// Reader is a daemon that reads the store.
type Reader struct {
	Address string
	Domain  id.Domain
	Link    link.Rate
	// ReadAt is when the daemon last read the store, on the clock of this one.
	ReadAt id.Instant
}

// Beacon is what a daemon tells of itself.
type Beacon struct {
	// Address is the control address of the sender, taken from the datagram.
	Address string
	Domain  id.Domain
	// Incarnation tells two runs of a daemon apart; Sequence orders the beacons of one.
	Incarnation uint64
	Sequence    uint64
	Revision    mirror.Revision
	// StoreAge is the time since the sender's copy was known to be current.
	StoreAge time.Duration
	// ReadAge is the time since the sender itself last read the store.
	ReadAge time.Duration
	// Link is what the sender's network link carries.
	Link link.Rate
	// Period is the time in which the sender tells the receiver again, zero if
	// that is not said.
	Period time.Duration
	Load   placement.Report
	// Near and Far are the latest loads that the sender has heard, of its own and
	// of other failure domains.
	Near, Far []placement.Report
	// Readers are the daemons that have read the store last, as far as the sender
	// knows.
	Readers []Reader
	// Received is when the beacon arrived.
	Received id.Instant
}

// fixedBeacon is the part of a beacon that has a fixed size. The failure domain
// and the sender's load follow, then the lists, each with its length in front.
type fixedBeacon struct {
	Format      uint8
	PeriodMS    uint16
	StoreAgeMS  uint32
	ReadAgeMS   uint32
	LinkKBps    uint32
	Incarnation uint64
	Sequence    uint32
	Revision    uint64
}

// fixedReport is the part of a report that has a fixed size. The backend server
// follows as text.
type fixedReport struct {
	Leaving       bool
	Running       uint16
	Queued        uint16
	Slots         uint16
	ServiceMicros uint32
	FailPermille  uint16
	LinkWaitMS    uint16
	TransferMS    uint16
	AgeMS         uint16
}

// fixedReader is the part of a reader that has a fixed size. Its address and
// failure domain follow as texts.
type fixedReader struct {
	LinkKBps uint32
	AgeMS    uint32
}

const (
	maxText    = 255
	bytesPerKB = 1000
	permille   = 1000
)

// encodeBeacon writes a beacon. Instants become ages at the instant now.
func encodeBeacon(beacon *Beacon, now id.Instant) []byte {
	var out bytes.Buffer
	writeFixed(&out, &fixedBeacon{
		Format:      beaconFormat,
		PeriodMS:    clamp[uint16](beacon.Period.Milliseconds()),
		StoreAgeMS:  clamp[uint32](beacon.StoreAge.Milliseconds()),
		ReadAgeMS:   clamp[uint32](beacon.ReadAge.Milliseconds()),
		LinkKBps:    clamp[uint32](int64(beacon.Link / bytesPerKB)),
		Incarnation: beacon.Incarnation, Sequence: uint32(beacon.Sequence), Revision: uint64(beacon.Revision),
	})
	writeText(&out, string(beacon.Domain))
	writeReport(&out, &beacon.Load, now)
	for _, reports := range [][]placement.Report{beacon.Near, beacon.Far} {
		reports = reports[:min(len(reports), maxListed)]
		out.WriteByte(byte(len(reports)))
		for i := range reports {
			writeReport(&out, &reports[i], now)
		}
	}
	readers := beacon.Readers[:min(len(beacon.Readers), maxListed)]
	out.WriteByte(byte(len(readers)))
	for _, reader := range readers {
		writeFixed(&out, &fixedReader{
			LinkKBps: clamp[uint32](int64(reader.Link / bytesPerKB)),
			AgeMS:    clamp[uint32](now.Sub(reader.ReadAt).Milliseconds()),
		})
		writeText(&out, reader.Address)
		writeText(&out, string(reader.Domain))
	}
	return out.Bytes()
}

func writeFixed(out *bytes.Buffer, fixed any) {
	// Writing to a buffer cannot fail.
	_ = binary.Write(out, binary.BigEndian, fixed)
}

func writeText(out *bytes.Buffer, text string) {
	text = text[:min(len(text), maxText)]
	out.WriteByte(byte(len(text)))
	out.WriteString(text)
}

func writeReport(out *bytes.Buffer, report *placement.Report, now id.Instant) {
	writeFixed(out, &fixedReport{
		Leaving: report.Leaving,
		Running: clamp[uint16](report.Running), Queued: clamp[uint16](report.Queued), Slots: clamp[uint16](report.Slots),
		ServiceMicros: clamp[uint32](report.Service.Microseconds()),
		FailPermille:  clamp[uint16](int(report.FailureRate * permille)),
		LinkWaitMS:    clamp[uint16](report.LinkWait.Milliseconds()),
		TransferMS:    clamp[uint16](report.TransferTime.Milliseconds()),
		AgeMS:         clamp[uint16](now.Sub(report.At).Milliseconds()),
	})
	writeText(out, string(report.Server))
}

// clamp keeps a count within the range of its field.
func clamp[U uint16 | uint32, V int | int64](value V) U {
	return U(max(0, min(uint64(max(0, value)), uint64(^U(0)))))
}

var (
	errBeacon     = errors.New("beacon: unknown format; run the same release on all hosts")
	errBeaconList = errors.New("beacon: a list is longer than allowed; run the same release on all hosts")
)

// decodeBeacon reads a beacon that arrived at the given instant.
func decodeBeacon(data []byte, received id.Instant) (Beacon, error) {
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
	beacon := Beacon{
		Domain: id.Domain(domain), Incarnation: fixed.Incarnation, Sequence: uint64(fixed.Sequence),
		Revision: mirror.Revision(fixed.Revision),
		StoreAge: time.Duration(fixed.StoreAgeMS) * time.Millisecond,
		ReadAge:  time.Duration(fixed.ReadAgeMS) * time.Millisecond,
		Link:     link.Rate(fixed.LinkKBps) * bytesPerKB,
		Period:   time.Duration(fixed.PeriodMS) * time.Millisecond,
		Received: received,
	}
	if beacon.Load, err = readReport(in, received); err != nil {
		return Beacon{}, err
	}
	report := func() (placement.Report, error) { return readReport(in, received) }
	if beacon.Near, err = readList(in, report); err != nil {
		return Beacon{}, err
	}
	if beacon.Far, err = readList(in, report); err != nil {
		return Beacon{}, err
	}
	beacon.Readers, err = readList(in, func() (Reader, error) { return readReader(in, received) })
	return beacon, err
}

func readList[T any](in *bytes.Reader, read func() (T, error)) ([]T, error) {
	length, err := in.ReadByte()
	if err != nil {
		return nil, fmt.Errorf("beacon: %w", err)
	}
	if length > maxListed {
		return nil, errBeaconList
	}
	var list []T
	for range length {
		one, err := read()
		if err != nil {
			return nil, err
		}
		list = append(list, one)
	}
	return list, nil
}

func readReport(in *bytes.Reader, received id.Instant) (placement.Report, error) {
	var fixed fixedReport
	if err := binary.Read(in, binary.BigEndian, &fixed); err != nil {
		return placement.Report{}, fmt.Errorf("beacon: report: %w", err)
	}
	server, err := readText(in)
	if err != nil {
		return placement.Report{}, err
	}
	return placement.Report{
		Server: backend.ID(server), Leaving: fixed.Leaving,
		Running: int(fixed.Running), Queued: int(fixed.Queued), Slots: int(fixed.Slots),
		Service:      time.Duration(fixed.ServiceMicros) * time.Microsecond,
		FailureRate:  float64(fixed.FailPermille) / permille,
		LinkWait:     time.Duration(fixed.LinkWaitMS) * time.Millisecond,
		TransferTime: time.Duration(fixed.TransferMS) * time.Millisecond,
		At:           received.Add(-time.Duration(fixed.AgeMS) * time.Millisecond),
	}, nil
}

func readReader(in *bytes.Reader, received id.Instant) (Reader, error) {
	var fixed fixedReader
	if err := binary.Read(in, binary.BigEndian, &fixed); err != nil {
		return Reader{}, fmt.Errorf("beacon: reader: %w", err)
	}
	address, err := readText(in)
	if err != nil {
		return Reader{}, err
	}
	domain, err := readText(in)
	return Reader{
		Address: address, Domain: id.Domain(domain), Link: link.Rate(fixed.LinkKBps) * bytesPerKB,
		ReadAt: received.Add(-time.Duration(fixed.AgeMS) * time.Millisecond),
	}, err
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
