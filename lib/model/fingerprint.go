package model

// Fingerprint identifies the content of a request of one tenant, regardless of its
// request ID, so that a request that crashes backend servers is recognised when it is
// sent again.
type Fingerprint Digest

// FingerprintOf hashes the tenant, the service and the body. A zero byte after the
// tenant and the service keeps different splits of the same bytes apart.
func FingerprintOf(tenant Tenant, service Service, body []byte) Fingerprint {
	buf := make([]byte, 0, len(tenant)+len(service)+len(body)+2)
	buf = append(buf, tenant...)
	buf = append(buf, 0)
	buf = append(buf, service...)
	buf = append(buf, 0)
	buf = append(buf, body...)
	return Fingerprint(Sum(buf))
}

// String returns the short hexadecimal form.
func (f Fingerprint) String() string { return Digest(f).Short() }
