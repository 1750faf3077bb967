package daemon

import (
	"bytes"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"crocusnotch/internal/config"
)

// settingsPoll is the time between two looks for a silent change of the
// settings file.
const settingsPoll = 2 * time.Second

// watchSettings checks the settings file again at each SIGHUP and when it
// changed without one. Settings are in force for the life of a process, so a
// valid change is reported with the need for a restart. The returned function
// ends the watch.
func (p *Program) watchSettings(log *slog.Logger, path string) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(settingsPoll)
		defer ticker.Stop()
		known, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings not read", "path", path, "error", err.Error())
		}
		for {
			cause := "change"
			select {
			case <-done:
				return
			case <-signals:
				cause = "signal"
			case <-ticker.C:
			}
			data, err := os.ReadFile(path)
			if err != nil {
				log.Warn("settings not read", "path", path, "cause", cause, "error", err.Error())
				continue
			}
			if cause == "signal" || !bytes.Equal(data, known) {
				p.reportSettings(log, cause, data)
			}
			known = data
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// reportSettings checks settings that were read again.
func (p *Program) reportSettings(log *slog.Logger, cause string, data []byte) {
	fresh := reflect.New(reflect.TypeOf(p.Settings).Elem()).Interface()
	if err := config.Decode(data, fresh); err != nil {
		log.Warn("settings refused", "cause", cause, "error", err.Error())
		return
	}
	if reflect.DeepEqual(fresh, p.Settings) {
		log.Info("settings unchanged", "cause", cause)
		return
	}
	log.Warn("settings changed; they take effect at the next start", "cause", cause)
}
