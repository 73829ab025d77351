package member

import (
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/message"
)

// maxSlots bounds the slots that an entry may claim.
const maxSlots = 1 << 20

func encode(entries []endpoint.Entry) []*message.Entry {
	rows := make([]*message.Entry, 0, len(entries))
	for _, entry := range entries {
		rows = append(rows, &message.Entry{
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
	return rows
}

// decode returns the entry of a row and whether it is valid.
func decode(row *message.Entry) (endpoint.Entry, bool) {
	valid := row.GetHost() != "" && row.GetFailureDomain() != "" &&
		row.GetState() <= uint32(endpoint.Dead) && row.GetSlots() <= maxSlots
	return endpoint.Entry{
		Host:        id.Host(row.GetHost()),
		Domain:      id.Domain(row.GetFailureDomain()),
		Region:      id.Region(row.GetRegion()),
		Service:     id.Service(row.GetService()),
		Control:     row.GetControl(),
		Hop:         row.GetHop(),
		Incarnation: id.Incarnation(row.GetIncarnation()),
		Sequence:    row.GetSequence(),
		State:       endpoint.State(row.GetState()),
		Slots:       int(row.GetSlots()),
		Started:     id.Instant(row.GetStarted()),
	}, valid
}
