package membership

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/topology"
)

const (
	outcomeReplied = "replied"
	outcomeFailed  = "failed"
	outcomeSkipped = "skipped"
)

// metrics are the metrics of a Node.
type metrics struct {
	exchanges   *prometheus.CounterVec
	transitions *prometheus.CounterVec
	records     prometheus.Counter
	members     prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_membership_exchanges_total",
			Help: "Requests made to peers, by message kind and outcome.",
		}, []string{"kind", "outcome"}),
		transitions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_membership_transitions_total",
			Help: "Changes of what is believed of members, by the new state.",
		}, []string{"state"}),
		records: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_membership_learned_records_total",
			Help: "Records newly learned from peers.",
		}),
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "doorpondd_membership_members",
			Help: "Live members known, this daemon included.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.exchanges, m.transitions, m.records, m.members)
	}
	return m
}

func (m *metrics) countExchange(kind MessageKind, outcome string) {
	m.exchanges.WithLabelValues(kind.String(), outcome).Inc()
}

// String returns the kind's label value in metrics.
func (k MessageKind) String() string {
	switch k {
	case MessagePing:
		return "ping"
	case MessagePingRequest:
		return "ping_request"
	case MessageIndirectAck:
		return "reached"
	case MessageGossip:
		return "gossip"
	case MessageSync:
		return "sync"
	case MessagePush:
		return "push"
	case MessageReply:
		return "reply"
	default:
		return "unknown"
	}
}

// StateName returns a member state's name in logs, metrics and status pages.
func StateName(state topology.MemberState) string {
	switch state {
	case topology.MemberAlive:
		return "alive"
	case topology.MemberSuspect:
		return "suspect"
	case topology.MemberLeaving:
		return "leaving"
	case topology.MemberDead:
		return "dead"
	case topology.MemberLeft:
		return "left"
	default:
		return "unknown"
	}
}
