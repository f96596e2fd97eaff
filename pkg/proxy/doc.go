// Package proxy sends requests to endpoints by way of another host while this host's own connections to
// them fail.
//
// A stream between two hosts carries one request. The sending host names the endpoint; the other host
// checks its own list of endpoints, reserves a connection to the endpoint and says that it is ready. Only
// then is the request sent, so that every failure before that point certainly left the request not run.
// After that point a request whose outcome is lost may have run, as with a direct connection. A request
// takes one such hop at most: the other host uses only its own connections.
//
// Both hosts send keepalive frames. A host that receives nothing for silenceTimeout gives the stream up, and
// the connection to the endpoint is closed with it, which ends the run there.
package proxy
