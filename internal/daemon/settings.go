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

// settingsPollInterval is the interval of checks for changes of the settings file
// without SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings validates the settings file again at each SIGHUP and whenever its
// content changes. A process keeps its settings until it exits, so a valid change is
// logged as taking effect at the next start. The returned function ends the watch.
func (p *Program) watchSettings(log *slog.Logger, path string) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		previous, err := os.ReadFile(path)
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
			if cause == "signal" || !bytes.Equal(data, previous) {
				p.reportSettings(log, cause, data)
			}
			previous = data
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// reportSettings validates the settings and logs whether they differ from those in
// use.
func (p *Program) reportSettings(log *slog.Logger, cause string, data []byte) {
	settings := reflect.New(reflect.TypeOf(p.Settings).Elem()).Interface()
	if err := config.Decode(data, settings); err != nil {
		log.Warn("settings refused", "cause", cause, "error", err.Error())
		return
	}
	if reflect.DeepEqual(settings, p.Settings) {
		log.Info("settings unchanged", "cause", cause)
		return
	}
	log.Warn("settings changed; they take effect at the next start", "cause", cause)
}
