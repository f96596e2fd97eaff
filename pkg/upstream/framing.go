package upstream

import "net/http"

// EndsWithConnection reports whether the body of a response has neither a length nor chunks (RFC 9112,
// section 6.3). The end of its connection is then the end of the body, whether or not it is complete.
func EndsWithConnection(r *http.Response) bool {
	if r.Request != nil && r.Request.Method == http.MethodHead {
		return false
	}
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
