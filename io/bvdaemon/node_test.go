package bvdaemon

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func (n *fakeNode) Generation(time.Time, uint64) (bvconfig.Config, time.Duration, bool) {
	return bvconfig.Config{}, 0, false
}

func (n *fakeNode) Status(time.Time) bvnode.Status { return bvnode.Status{Node: "lb", State: "active"} }

func (n *fakeNode) Metrics(time.Time) bvnode.Metrics { return bvnode.Metrics{Revision: 3} }

func (n *fakeNode) Dump(time.Time) bvnode.Dump { return bvnode.Dump{Node: "lb"} }

func (n *fakeNode) Explain(time.Time, bvflow.Tuple) bvroute.Explanation {
	return bvroute.Explanation{}
}

// TestParseFlow guards against a dump that explains another flow than requested.
func TestParseFlow(t *testing.T) {
	f, err := parseFlow("udp,203.0.113.7:51234,[2001:db8::1]:7000")
	require.NoError(t, err)
	assert.Equal(t, bvflow.ProtocolUDP, f.Protocol)
	assert.Equal(t, "203.0.113.7:51234", f.Source.String())
	assert.Equal(t, "[2001:db8::1]:7000", f.Destination.String())
	for _, s := range []string{"", "tcp", "tcp,1.2.3.4:5", "icmp,1.2.3.4:5,1.2.3.4:5", "tcp,1.2.3.4,1.2.3.4:5", "tcp,1.2.3.4:5,x"} {
		_, err := parseFlow(s)
		assert.Error(t, err, s)
	}
}
