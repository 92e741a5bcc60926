package node

import (
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/wire"
)

// sendReports sends reports to the nodes that count the crashes under the reported subjects.
func (n *Node) sendReports(reports []poison.Report) {
	if len(reports) == 0 {
		return
	}
	entries := *n.entries.Load()
	names := nodeNames(entries)
	contents, parts := make(map[string][]wire.CrashReport), make(map[string][]wire.CrashReport)
	for _, r := range reports {
		byOwner := contents
		if r.Subject.Part {
			byOwner = parts
		}
		report := encodeReport(r)
		for _, owner := range poison.Owners(r.Subject.ID, names) {
			byOwner[owner] = append(byOwner[owner], report)
		}
	}
	for _, e := range entries {
		if e.Node == n.settings.Node {
			continue
		}
		if list := contents[e.Node]; len(list) > 0 {
			n.links.Send(e.PeerAddress, wire.CrashReports{Reports: list})
		}
		if list := parts[e.Node]; len(list) > 0 {
			n.links.Send(e.PeerAddress, wire.PartCrashReports{Reports: list})
		}
	}
}

func encodeReport(r poison.Report) wire.CrashReport {
	report := wire.CrashReport{Request: bytesOf(r.Subject.ID), Served: r.Served}
	for _, e := range r.Crashes {
		report.Crashes = append(report.Crashes, wire.EndpointCrash{
			Endpoint: e.Endpoint, Address: e.Address, ServiceSize: e.ServiceSize, Confirmed: e.Confirmed, Alive: e.Alive, Accepted: e.Accepted,
			Age: e.Age.Milliseconds(), ServedBefore: e.ServedBefore, Companions: encodeIDs(e.Companions),
		})
	}
	return report
}

// handleCrashReports handles the crash reports of another node, about contents or about parts.
func (n *Node) handleCrashReports(from wire.Hello, list []wire.CrashReport, parts bool) {
	reports := make([]poison.Report, 0, len(list))
	for _, r := range list {
		report, err := decodeReport(r, parts)
		if err != nil {
			n.log.Warn(eventUnexpectedMessage, zap.String("node", from.Node), zap.Error(err))
			continue
		}
		reports = append(reports, report)
	}
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.HandleReports(now, reports) })
}

func decodeReport(r wire.CrashReport, part bool) (poison.Report, error) {
	id, err := poison.ParseID(r.Request)
	if err != nil {
		return poison.Report{}, err
	}
	report := poison.Report{Subject: poison.Subject{ID: id, Part: part}, Served: r.Served}
	for _, e := range r.Crashes {
		companions, err := decodeIDs(e.Companions)
		if err != nil {
			return poison.Report{}, err
		}
		crash := poison.Crash{
			Endpoint: e.Endpoint, Address: e.Address, ServiceSize: e.ServiceSize, Confirmed: e.Confirmed, Alive: e.Alive, Accepted: e.Accepted,
			Age: ageOf(e.Age), ServedBefore: e.ServedBefore, Companions: companions,
		}
		if err := crash.Validate(); err != nil {
			return poison.Report{}, err
		}
		report.Crashes = append(report.Crashes, crash)
	}
	return report, nil
}

// withRefusals adds the refusals to a message that its receiver may lack.
func (n *Node) withRefusals(to string, m wire.Gossip) wire.Gossip {
	p := n.poisonGuard
	p.mu.Lock()
	defer p.mu.Unlock()
	checksum, updates := p.guard.NextUpdates(time.Now(), to, maxRefusalsPerMessage)
	m.RefusedSum = checksum
	for _, r := range updates {
		m.Refused = append(m.Refused, wire.Refusal{
			Request: bytesOf(r.Subject.ID), Version: r.Version, Remaining: r.Remaining.Milliseconds(), Age: r.Age.Milliseconds(), Count: r.Count,
			Cleared: r.Cleared, Part: r.Subject.Part, Suspected: r.Suspected, Companions: encodeIDs(r.Companions),
		})
	}
	return m
}

// mergeRefusals applies the refusals in another node's message, and reports whether that node
// must be sent a reply.
func (n *Node) mergeRefusals(m *wire.Gossip) bool {
	received := make([]poison.Refusal, 0, len(m.Refused))
	for _, r := range m.Refused {
		refusal, err := decodeRefusal(r)
		if err != nil {
			n.log.Warn(eventUnexpectedMessage, zap.String("node", m.Node), zap.Error(err))
			continue
		}
		received = append(received, refusal)
	}
	return n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome {
		return g.HandleGossip(now, m.Node, m.RefusedSum, received)
	})
}

func decodeRefusal(r wire.Refusal) (poison.Refusal, error) {
	id, err := poison.ParseID(r.Request)
	if err != nil {
		return poison.Refusal{}, err
	}
	companions, err := decodeIDs(r.Companions)
	if err != nil {
		return poison.Refusal{}, err
	}
	refusal := poison.Refusal{
		Subject: poison.Subject{ID: id, Part: r.Part}, Version: r.Version, Remaining: clamp.Milliseconds(r.Remaining),
		Age: ageOf(r.Age), Count: r.Count, Cleared: r.Cleared, Suspected: r.Suspected, Companions: companions,
	}
	return refusal, refusal.Validate()
}

// ageOf returns an age sent in milliseconds. With a negative one, a crash would count beyond its time.
func ageOf(milliseconds int64) time.Duration {
	return max(clamp.Milliseconds(milliseconds), 0)
}

func bytesOf(id poison.ID) []byte { return id[:] }

func encodeIDs(ids []poison.ID) [][]byte {
	var list [][]byte
	for _, id := range ids {
		list = append(list, bytesOf(id))
	}
	return list
}

func decodeIDs(list [][]byte) ([]poison.ID, error) {
	var ids []poison.ID
	for _, b := range list {
		id, err := poison.ParseID(b)
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}
