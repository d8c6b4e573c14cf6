package entry

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/execute"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// HeaderIdempotencyKey is the header with the idempotency key of a non-idempotent call.
const HeaderIdempotencyKey = "Idempotency-Key"

// unforwardedHeaders are request headers that are not passed to plain services, because they concern only the caller's
// connection or the router.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Cookie": true, "Expect": true, "Host": true,
	"Keep-Alive": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "X-Request-Id": true,
}

// callService handles a call of a plain service.
func (e *exchange) callService() *outcome.Error {
	if oerr := e.identify(); oerr != nil {
		return oerr
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(e.r.URL.EscapedPath(), pathServices), "/")
	e.explanation.Service = name
	if !e.entry.fleet.isPlainService(name) {
		return notFound(outcome.CodeServiceNotFound, fmt.Sprintf("The service %q does not exist.", name))
	}
	body, oerr := e.readBody()
	if oerr != nil {
		return oerr
	}
	req := e.newRequest(body)
	req.Service = name
	req.Idempotent = execute.IdempotentMethod(e.r.Method)
	req.Ask.Kind, req.Ask.Method, req.Ask.Path = wire.KindPlain, e.r.Method, "/"+path
	if e.r.URL.RawQuery != "" {
		req.Ask.Path += "?" + e.r.URL.RawQuery
	}
	req.Ask.Header = forwardedHeaders(e.r.Header)
	if !req.Idempotent {
		return e.runOnce(req)
	}
	return e.run(req)
}

func forwardedHeaders(h http.Header) []wire.HeaderField {
	fields := make([]wire.HeaderField, 0, len(h))
	for name, values := range h {
		if unforwardedHeaders[name] || strings.HasPrefix(name, "Dragonflypin-") {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}
