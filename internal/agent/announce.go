package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

const (
	// announceLease is how long an announcement is valid.
	announceLease       = 3 * time.Second
	maxAnnouncementSize = 4 << 10 // bytes
	announcePath        = "/v1/upstream"
)

// Announcement describes an upstream to its agent.
type Announcement struct {
	Service     string         `json:"service" validate:"required,max=64,objectname"`
	Address     netip.AddrPort `json:"address" validate:"required,hostport"`
	Slots       int            `json:"slots" validate:"min=1,max=65535"`
	Connections int            `json:"connections" validate:"min=1,max=1000000"`
	State       string         `json:"state" validate:"required,oneof=cold warm leaving"`
}

// DecodeAnnouncement decodes and validates an announcement. An invalid one is
// reported as *config.InvalidError.
func DecodeAnnouncement(b []byte) (Announcement, error) {
	var a Announcement
	err := config.Decode(b, &a)
	return a, err
}

// admissionState returns the announced state.
func (a *Announcement) admissionState() admission.State {
	switch a.State {
	case "cold":
		return admission.StateCold
	case "leaving":
		return admission.StateLeaving
	default:
		return admission.StateWarm
	}
}

// stateName returns the announced state for logs and events.
func (a *Announcement) stateName() string {
	if a.State == "" {
		return "absent"
	}
	return a.State
}

// Lease is the response to an accepted announcement.
type Lease struct {
	LeaseMillis int64 `json:"leaseMillis"`
}

// DrainProgress reports to an upstream whether it may stop.
type DrainProgress struct {
	Flows   int  `json:"flows"`
	Running int  `json:"running"`
	Drained bool `json:"drained"`
}

// announceError is the response to an invalid announcement.
type announceError struct {
	Fields []fieldError `json:"faults"`
}

type fieldError struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// announceHandler serves the HTTP interface for the upstream.
type announceHandler struct {
	announce func(Announcement) error // returns a *config.InvalidError for an invalid announcement
	progress func() DrainProgress
}

func (h *announceHandler) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+announcePath, h.put)
	mux.HandleFunc("GET "+announcePath, h.get)
	return mux
}

func (h *announceHandler) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementSize))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, announceError{Fields: []fieldError{{Reason: "longer than 4096 bytes"}}})
		return
	}
	a, err := DecodeAnnouncement(body)
	if err == nil {
		err = h.announce(a)
	}
	var invalid *config.InvalidError
	switch {
	case errors.As(err, &invalid):
		writeJSON(w, http.StatusBadRequest, errorBody(invalid))
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, Lease{LeaseMillis: announceLease.Milliseconds()})
	}
}

func (h *announceHandler) get(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.progress())
}

func errorBody(err *config.InvalidError) announceError {
	var out announceError
	for _, f := range err.Fields {
		out.Fields = append(out.Fields, fieldError{Path: f.Path, Reason: f.Reason})
	}
	return out
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
