package platform

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

// errOldEra reports a response that the store sent before it was restored from a copy
// and that arrived after a later one. What it says is no longer true.
var errOldEra = errors.New("platform: response from before the store was restored")

// responseEra returns the era of a response, and errOldEra if a response of a later era
// was received before. A response without a valid era belongs to the last known one.
func (c *Client) responseEra(h http.Header) (uint64, error) {
	known := c.era.Load()
	text := h.Get(c.opts.Protocol.EraHeader())
	if text == "" {
		return known, nil
	}
	era, err := strconv.ParseUint(text, decimal, 64)
	if err != nil || era > config.MaxEra {
		c.metrics.eras.WithLabelValues("malformed").Inc()
		return known, nil
	}
	for ; era > known; known = c.era.Load() {
		if c.era.CompareAndSwap(known, era) {
			c.metrics.eras.WithLabelValues("risen").Inc()
			return era, nil
		}
	}
	if era < known {
		return 0, errOldEra
	}
	return era, nil
}

// withEra returns the snapshot with the era added to its revisions.
func (s Snapshot) withEra(era uint64) Snapshot {
	s.Revision = config.JoinRevision(era, s.Revision)
	for i := range s.Objects {
		addEra(&s.Objects[i], era)
	}
	return s
}

// addEra adds the era to the revision of an object as the store gave it out.
func addEra(o *config.Object, era uint64) {
	o.Revision = config.JoinRevision(era, o.Revision)
	o.SetVersion()
}

// object decodes the object in a response and adds the era to its revision.
func (c *Client) object(id config.ID, res Response) (config.Object, error) {
	o, err := c.opts.Protocol.Object(id, res)
	if err != nil {
		return o, err
	}
	addEra(&o, res.Era)
	return o, nil
}
