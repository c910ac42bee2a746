package bvadmin

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestServer guards against answers in a format that the operators' tools cannot
// read.
func TestServer(t *testing.T) {
	m := NewMetrics()
	m.Scope.Tagged(map[string]string{"reason": "zoneOut"}).Counter("packetsDropped").Inc(3)
	require.NoError(t, m.Close()) // Reports at once, without waiting for the interval.
	ready := false
	h := New(m, Sources{
		Dump: func(q url.Values) (any, error) {
			if q.Get("flow") == "bad" {
				return nil, errors.New("malformed flow")
			}
			return map[string]string{"service": q.Get("service")}, nil
		},
		Status: func() any { return map[string]any{"node": "n", "revision": 3} },
		Ready:  func() bool { return ready },
	}).HTTP()
	get := func(path string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code, w.Body.String()
	}
	_, body := get("/metrics")
	assert.Contains(t, body, `balsamvane_packetsDropped{reason="zoneOut"} 3`)
	_, body = get("/status")
	assert.JSONEq(t, `{"node":"n","revision":3}`, body)
	_, body = get("/dump?service=tickets")
	assert.JSONEq(t, `{"service":"tickets"}`, body)
	code, _ := get("/dump?flow=bad")
	assert.Equal(t, http.StatusBadRequest, code)
	code, _ = get("/dump?color=red")
	assert.Equal(t, http.StatusBadRequest, code)
	code, _ = get("/ready")
	assert.Equal(t, http.StatusServiceUnavailable, code)
	ready = true
	code, _ = get("/ready")
	assert.Equal(t, http.StatusOK, code)
}
