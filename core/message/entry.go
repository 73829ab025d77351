package message

import (
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
)

// maxSlots bounds the number of slots that an entry may claim.
const maxSlots = 1 << 20

// NewEntriesFrame returns a frame that carries rows of the endpoint table.
func NewEntriesFrame(entries []endpoint.Entry) *Frame {
	rows := make([]*Entry, 0, len(entries))
	for _, entry := range entries {
		rows = append(rows, &Entry{
			Host:          string(entry.Host),
			FailureDomain: string(entry.Domain),
			Region:        string(entry.Region),
			Service:       string(entry.Service),
			Control:       entry.Control,
			Hop:           entry.Hop,
			Incarnation:   uint64(entry.Incarnation),
			Sequence:      entry.Sequence,
			State:         uint32(entry.State),
			Slots:         uint32(entry.Slots),
			Started:       uint64(entry.Started),
		})
	}
	return &Frame{Body: &Frame_Entries{Entries: &Entries{Entries: rows}}}
}

// Endpoint converts the row to an endpoint and reports whether it is valid.
func (x *Entry) Endpoint() (endpoint.Entry, bool) {
	valid := x.GetHost() != "" && x.GetFailureDomain() != "" &&
		x.GetState() <= uint32(endpoint.Dead) && x.GetSlots() <= maxSlots
	return endpoint.Entry{
		Host:        id.Host(x.GetHost()),
		Domain:      id.Domain(x.GetFailureDomain()),
		Region:      id.Region(x.GetRegion()),
		Service:     id.Service(x.GetService()),
		Control:     x.GetControl(),
		Hop:         x.GetHop(),
		Incarnation: id.Incarnation(x.GetIncarnation()),
		Sequence:    x.GetSequence(),
		State:       endpoint.State(x.GetState()),
		Slots:       int(x.GetSlots()),
		Started:     id.Instant(x.GetStarted()),
	}, valid
}
