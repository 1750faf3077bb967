package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

const (
	decimal           = 10
	headerIfMatch     = "If-Match"
	headerIfNoneMatch = "If-None-Match"
	headerEra         = "Crocus-Store-Era"
	contentTypeJSON   = "application/json"
	objectsPath       = "/v1/objects/"
	watchPath         = "/v1/watch"
)

// nativeProtocol is the protocol of the product's own object API, which
// docs/design/architecture.md documents. It is the default of Options.Protocol.
type nativeProtocol struct{}

func objectPath(id config.ID) string {
	return objectsPath + url.PathEscape(id.Kind) + "/" + url.PathEscape(id.Name)
}

// Get implements Protocol.
func (nativeProtocol) Get(id config.ID) Call {
	return Call{Name: "get", Method: http.MethodGet, Path: objectPath(id)}
}

// List implements Protocol. The API does not paginate.
func (nativeProtocol) List(kind, _ string) Call {
	return Call{Name: "list", Method: http.MethodGet, Path: objectsPath + url.PathEscape(kind)}
}

// Watch implements Protocol.
func (nativeProtocol) Watch(from uint64, wait time.Duration, kinds []string) Call {
	query := url.Values{"kind": kinds}
	query.Set("from", strconv.FormatUint(from, decimal))
	query.Set("waitMillis", strconv.FormatInt(wait.Milliseconds(), decimal))
	return Call{Name: "watch", Method: http.MethodGet, Path: watchPath, Query: query}
}

// Write implements Protocol.
func (nativeProtocol) Write(w Write) Call {
	call := Call{Name: "put", Method: http.MethodPut, Path: objectPath(w.ID), Body: w.Value}
	call.Header = http.Header{"Content-Type": {contentTypeJSON}}
	if w.Remove {
		call.Name, call.Method, call.Body = "delete", http.MethodDelete, nil
	}
	if w.Expected == 0 {
		call.Header.Set(headerIfNoneMatch, "*")
		return call
	}
	call.Header.Set(headerIfMatch, strconv.Quote(strconv.FormatUint(w.Expected, decimal)))
	return call
}

// Object implements Protocol.
func (d nativeProtocol) Object(_ config.ID, res Response) (config.Object, error) {
	if d.Conflict(res) {
		res.Status = http.StatusOK
	}
	var o config.Object
	if res.Status != http.StatusOK {
		return o, unavailable(errors.Errorf("status %d", res.Status))
	}
	if err := json.Unmarshal(res.Body, &o); err != nil {
		return config.Object{}, unavailable(errors.Wrap(err, "decode object"))
	}
	return o, nil
}

// Page implements Protocol.
func (nativeProtocol) Page(_ string, res Response) (page Snapshot, next string, err error) {
	page, err = decodeSnapshot(res)
	return page, "", err
}

// decodeSnapshot decodes a list of objects, each of them by itself.
func decodeSnapshot(res Response) (Snapshot, error) {
	body, err := DecodeBody(res)
	if err != nil {
		return Snapshot{}, err
	}
	var out Snapshot
	if out.Revision, err = body.Revision("revision"); err != nil {
		return Snapshot{}, err
	}
	list, err := body.List("objects")
	if err != nil {
		return Snapshot{}, err
	}
	for _, raw := range list {
		var o config.Object
		if err := json.Unmarshal(raw, &o); err != nil {
			out.Refuse(o.ID(), err)
			continue
		}
		out.Objects = append(out.Objects, o)
	}
	return out, nil
}

// Changes implements Protocol.
func (nativeProtocol) Changes(_ uint64, res Response) (Snapshot, error) { return decodeSnapshot(res) }

// EraHeader implements Protocol.
func (nativeProtocol) EraHeader() string { return headerEra }

// Conflict implements Protocol.
func (nativeProtocol) Conflict(res Response) bool { return res.Status == http.StatusPreconditionFailed }
