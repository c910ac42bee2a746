package bvadmin

import (
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"
)

// noExplanation answers a request to a balancer that keeps an entry for each flow.
const noExplanation = "this balancer does not explain openings that were not sent; ask for a flow with GET /dump?flow=PROTOCOL,SOURCE,DESTINATION"

// explain answers where an opening of a caller to a destination would go now.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	if s.sources.Explain == nil {
		http.Error(w, noExplanation, http.StatusNotImplemented)
		return
	}
	caller, destination, err := parseOpening(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.sources.Explain(caller, destination))
}

// parseOpening reads the addresses of an opening from a query.
func parseOpening(q url.Values) (caller, destination netip.AddrPort, err error) {
	for k := range q {
		if k != "caller" && k != "destination" {
			return caller, destination, eris.Errorf("unknown parameter %s; valid parameters are destination and caller", k)
		}
	}
	if destination, err = parseAddress(q, "destination"); err != nil {
		return caller, destination, err
	}
	caller, err = parseAddress(q, "caller")
	return caller, destination, err
}

// parseAddress reads an address and port as packets have them.
func parseAddress(q url.Values, name string) (netip.AddrPort, error) {
	switch len(q[name]) {
	case 0:
		return netip.AddrPort{}, eris.Errorf("parameter %s is missing; write %s=IP:PORT, such as %s=203.0.113.7:8443", name, name, name)
	case 1:
	default:
		return netip.AddrPort{}, eris.Errorf("parameter %s is given %d times; give it once", name, len(q[name]))
	}
	a, err := netip.ParseAddrPort(q.Get(name))
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return netip.AddrPort{}, eris.Errorf("%s %q is not an IP address and port, such as 203.0.113.7:8443", name, q.Get(name))
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}
