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
	// maxBeaconBytes is the size of the largest accepted beacon.
	maxBeaconBytes = 2 << 10
	// beaconFormat is the first byte of a beacon; other formats are rejected.
	beaconFormat = 4
	// maxListLength bounds each list in a beacon.
	maxListLength = 64
)

// Reader is a daemon that reads the platform's store itself.
type Reader struct {
	Address string
	Domain  id.Domain
	Link    link.Rate
	// ReadAt is when the daemon last read the store, on the local clock.
	ReadAt id.Instant
}

// Beacon is a daemon's own state and what it knows of other daemons.
type Beacon struct {
	// Address is the control address of the sender, taken from the datagram.
	Address string
	Domain  id.Domain
	// Incarnation distinguishes runs of a daemon and increases with each; Sequence
	// orders the beacons of one run.
	Incarnation uint64
	Sequence    uint64
	// AsOf is the position of the sender's copy of the store.
	AsOf mirror.Position
	// StoreAge is the time since the sender's copy of the store was known to be
	// current.
	StoreAge time.Duration
	// ReadAge is the time since the sender itself last read the store.
	ReadAge time.Duration
	// Link is the capacity of the sender's network link.
	Link link.Rate
	// Period is the interval until the sender's next beacon to the same receiver, or
	// zero if unknown.
	Period time.Duration
	// Load is the load of the sender's backend server.
	Load placement.Report
	// Near and Far are the latest load reports that the sender has received, from its
	// own and from other failure domains.
	Near, Far []placement.Report
	// Readers are the daemons that have read the store most recently, as far as the
	// sender knows.
	Readers []Reader
	// Received is when the beacon arrived.
	Received id.Instant
}

// fixedBeacon is the fixed-size start of a beacon. The failure domain and the
// sender's own load follow, then the lists, each preceded by its length.
type fixedBeacon struct {
	Format      uint8
	PeriodMS    uint16
	StoreAgeMS  uint32
	ReadAgeMS   uint32
	LinkKBps    uint32
	Incarnation uint64
	Sequence    uint32
	Era         uint64
	Revision    uint64
}

// fixedReport is the fixed-size part of a load report. The ID of the backend server
// follows as a string.
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

// fixedReader is the fixed-size part of a Reader. Its address and failure domain
// follow as strings.
type fixedReader struct {
	LinkKBps uint32
	AgeMS    uint32
}

const (
	maxStringBytes = 255
	bytesPerKB     = 1000
	permille       = 1000
)

// encodeBeacon encodes a beacon. Instants are sent as ages relative to now.
func encodeBeacon(beacon *Beacon, now id.Instant) []byte {
	var out bytes.Buffer
	writeFixed(&out, &fixedBeacon{
		Format:      beaconFormat,
		PeriodMS:    clamp[uint16](beacon.Period.Milliseconds()),
		StoreAgeMS:  clamp[uint32](beacon.StoreAge.Milliseconds()),
		ReadAgeMS:   clamp[uint32](beacon.ReadAge.Milliseconds()),
		LinkKBps:    clamp[uint32](int64(beacon.Link / bytesPerKB)),
		Incarnation: beacon.Incarnation, Sequence: uint32(beacon.Sequence),
		Era: uint64(beacon.AsOf.Era), Revision: uint64(beacon.AsOf.Revision),
	})
	writeString(&out, string(beacon.Domain))
	writeReport(&out, &beacon.Load, now)
	for _, reports := range [][]placement.Report{beacon.Near, beacon.Far} {
		reports = reports[:min(len(reports), maxListLength)]
		out.WriteByte(byte(len(reports)))
		for i := range reports {
			writeReport(&out, &reports[i], now)
		}
	}
	readers := beacon.Readers[:min(len(beacon.Readers), maxListLength)]
	out.WriteByte(byte(len(readers)))
	for _, reader := range readers {
		writeFixed(&out, &fixedReader{
			LinkKBps: clamp[uint32](int64(reader.Link / bytesPerKB)),
			AgeMS:    clamp[uint32](now.Sub(reader.ReadAt).Milliseconds()),
		})
		writeString(&out, reader.Address)
		writeString(&out, string(reader.Domain))
	}
	return out.Bytes()
}

func writeFixed(out *bytes.Buffer, fixed any) {
	// Writing to a buffer cannot fail.
	_ = binary.Write(out, binary.BigEndian, fixed)
}

func writeString(out *bytes.Buffer, text string) {
	text = text[:min(len(text), maxStringBytes)]
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
	writeString(out, string(report.Server))
}

// clamp limits a value to the range of its field.
func clamp[U uint16 | uint32, V int | int64](value V) U {
	return U(max(0, min(uint64(max(0, value)), uint64(^U(0)))))
}

var (
	errBeaconFormat     = errors.New("beacon: unknown format; run the same release on all hosts")
	errBeaconListLength = errors.New("beacon: list too long; run the same release on all hosts")
)

// decodeBeacon decodes a beacon that arrived at the given instant.
func decodeBeacon(data []byte, received id.Instant) (Beacon, error) {
	in := bytes.NewReader(data)
	var fixed fixedBeacon
	if err := binary.Read(in, binary.BigEndian, &fixed); err != nil {
		return Beacon{}, fmt.Errorf("beacon: %w", err)
	}
	if fixed.Format != beaconFormat {
		return Beacon{}, errBeaconFormat
	}
	domain, err := readString(in)
	if err != nil {
		return Beacon{}, err
	}
	beacon := Beacon{
		Domain: id.Domain(domain), Incarnation: fixed.Incarnation, Sequence: uint64(fixed.Sequence),
		AsOf:     mirror.Position{Era: mirror.Era(fixed.Era), Revision: mirror.Revision(fixed.Revision)},
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
	if length > maxListLength {
		return nil, errBeaconListLength
	}
	var list []T
	for range length {
		element, err := read()
		if err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	return list, nil
}

func readReport(in *bytes.Reader, received id.Instant) (placement.Report, error) {
	var fixed fixedReport
	if err := binary.Read(in, binary.BigEndian, &fixed); err != nil {
		return placement.Report{}, fmt.Errorf("beacon: report: %w", err)
	}
	server, err := readString(in)
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
	address, err := readString(in)
	if err != nil {
		return Reader{}, err
	}
	domain, err := readString(in)
	return Reader{
		Address: address, Domain: id.Domain(domain), Link: link.Rate(fixed.LinkKBps) * bytesPerKB,
		ReadAt: received.Add(-time.Duration(fixed.AgeMS) * time.Millisecond),
	}, err
}

func readString(in *bytes.Reader) (string, error) {
	length, err := in.ReadByte()
	if err != nil {
		return "", fmt.Errorf("beacon: %w", err)
	}
	text := make([]byte, length)
	if n, err := in.Read(text); n < len(text) {
		return "", fmt.Errorf("beacon: truncated string: %w", err)
	}
	return string(text), nil
}
