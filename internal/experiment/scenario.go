// Package experiment runs a whole fleet in one process on loopback: real entries
// and agents with a simulated platform, callers and upstreams, under the load and
// faults of a scenario. It reports what callers observed and the resources that the
// fleet used.
package experiment

import (
	"embed"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

//go:embed profiles/*.json
var profiles embed.FS

// Scenario describes one run. It is read from a JSON file.
type Scenario struct {
	Name            string  `json:"name" validate:"required,objectname"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"durationSeconds" validate:"gt=0,lte=3600"`
	// SettleSeconds is the time under load before the run begins, in which
	// the newly started fleet completes its cold start.
	SettleSeconds float64   `json:"settleSeconds" validate:"gte=0,lte=600"`
	Region        string    `json:"region" validate:"required,objectname"`
	Zones         []string  `json:"zones" validate:"required,min=1,max=16,unique,dive,objectname"`
	Entries       int       `json:"entries" validate:"min=1,max=32"`
	LoadFactor    float64   `json:"loadFactor" validate:"gt=0,lte=10"`
	Network       Network   `json:"network"`
	Services      []Service `json:"services" validate:"required,min=1,max=16,unique=Name,dive"`
	Steps         []Step    `json:"steps" validate:"dive"`
}

// Network sets the loss, reordering and delay of packets in the fabric.
type Network struct {
	Loss        float64 `json:"loss" validate:"gte=0,lt=1"`
	Reorder     float64 `json:"reorder" validate:"gte=0,lt=1"`
	DelayMicros int     `json:"delayMicros" validate:"min=0,max=1000000"`
}

// Service is one service and its upstreams. An endpoint of the service is the place
// of one upstream, which its replacements take over.
type Service struct {
	Name        string    `json:"name" validate:"required,objectname"`
	Slots       int       `json:"slots" validate:"min=1,max=1000"`            // of each endpoint
	Flows       int       `json:"flows" validate:"min=1"`                     // callers' flows per endpoint, before scaling
	Connections int       `json:"connections" validate:"min=1"`               // flow limit that an endpoint announces
	Speeds      []float64 `json:"speeds" validate:"required,min=1,dive,gt=0"` // one for each endpoint
	WorkMillis  float64   `json:"workMillis" validate:"gt=0"`                 // mean duration of a request at speed 1
	// ColdShare is the share of its slots that a cold upstream can use at the
	// start of its warm-up, and the service's configured FreshShare.
	ColdShare    float64 `json:"coldShare" validate:"gt=0,lte=1"`
	WarmUpMillis int     `json:"warmUpMillis" validate:"min=1"`
	// StreamShare is the share of flows that carry a long-lived stream.
	StreamShare float64 `json:"streamShare" validate:"gte=0,lte=1"`
	Classes     []Class `json:"classes" validate:"required,min=1,unique=Name,dive"`
}

// Class is one request class of a service.
type Class struct {
	Name           string  `json:"name" validate:"required,objectname"`
	RunAtMostOnce  bool    `json:"runAtMostOnce,omitempty"`
	Bulk           bool    `json:"bulk,omitempty"`
	Share          float64 `json:"share" validate:"gt=0,lte=1"` // of the requests
	Bytes          int     `json:"bytes" validate:"min=0,max=16777216"`
	Work           float64 `json:"work" validate:"gt=0"` // factor on WorkMillis
	DeadlineMillis int     `json:"deadlineMillis" validate:"min=1"`
}

// Action is the kind of change that a step makes.
type Action string

// Actions of steps.
const (
	ActionReplaceEntries     Action = "replace-entries" // all entries, one after another
	ActionReplaceEntry       Action = "replace-entry"
	ActionKillEntry          Action = "kill-entry"
	ActionKillAgent          Action = "kill-agent"
	ActionReplaceAgent       Action = "replace-agent"
	ActionDrainUpstream      Action = "drain-upstream"
	ActionColdStart          Action = "cold-again"
	ActionZoneOut            Action = "zone-out"
	ActionZoneIn             Action = "zone-in"
	ActionStoreDown          Action = "store-down"
	ActionStoreSlow          Action = "store-slow"
	ActionStoreLoseResponses Action = "store-loses-answers"
	ActionStoreUp            Action = "store-up"
	ActionApplyConfiguration Action = "apply-configuration"
	ActionSetLoadFactor      Action = "load-factor"
)

// Step is one change during the run.
type Step struct {
	AtSeconds float64 `json:"atSeconds" validate:"gte=0"`
	Action    Action  `json:"do" validate:"oneof=replace-entries replace-entry kill-entry kill-agent replace-agent drain-upstream cold-again zone-out zone-in store-down store-slow store-loses-answers store-up apply-configuration load-factor"`
	Zone      string  `json:"zone,omitempty"`
	Service   string  `json:"service,omitempty"`
	Index     int     `json:"index,omitempty" validate:"min=0"` // entry, or endpoint of the service
	Factor    float64 `json:"factor,omitempty" validate:"gte=0,lte=10"`
}

// Profile returns a scenario that is embedded in the program.
func Profile(name string) (*Scenario, error) {
	data, err := profiles.ReadFile("profiles/" + name + ".json")
	if err != nil {
		return nil, errors.Errorf("unknown profile %q; the profiles are mtkvari, huron, hold, steady, overload and drains", name)
	}
	s := &Scenario{}
	if err := config.Decode(data, s); err != nil {
		return nil, err
	}
	return s, s.validate()
}

// ReadScenario reads a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	s := &Scenario{}
	if err := config.ReadFile(path, s); err != nil {
		return nil, err
	}
	return s, s.validate()
}

// validate checks the rules that struct tags cannot express.
func (s *Scenario) validate() error {
	for i := range s.Steps {
		if reason := s.invalidStepReason(&s.Steps[i]); reason != "" {
			return errors.Errorf("steps[%d]: %s", i, reason)
		}
	}
	return nil
}

func (s *Scenario) invalidStepReason(step *Step) string {
	switch step.Action {
	case ActionZoneOut, ActionZoneIn:
		for _, z := range s.Zones {
			if z == step.Zone {
				return ""
			}
		}
		return "zone is not one of zones"
	case ActionKillAgent, ActionReplaceAgent, ActionDrainUpstream, ActionColdStart:
		service := s.service(step.Service)
		if service == nil {
			return "service is not one of services"
		}
		if step.Index >= len(service.Speeds) {
			return "index is not an endpoint of the service"
		}
	case ActionReplaceEntry, ActionKillEntry:
		if step.Index >= s.Entries {
			return "index is not an entry"
		}
	case ActionSetLoadFactor:
		if step.Factor == 0 {
			return "factor is required"
		}
	}
	return ""
}

func (s *Scenario) service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

func (s *Scenario) duration() time.Duration { return seconds(s.DurationSeconds) }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// capacity is the mean number of requests per second that the service's
// upstreams can run when all slots are busy.
func (s *Service) capacity() float64 {
	var speed, work float64
	for _, v := range s.Speeds {
		speed += v
	}
	for i := range s.Classes {
		work += s.Classes[i].Share * s.Classes[i].Work
	}
	return speed * float64(s.Slots) / (work * s.WorkMillis / 1000)
}
