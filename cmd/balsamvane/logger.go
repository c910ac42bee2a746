package main

import (
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Lines with the same message and level are cut to a few in each period, so
// that a failing peer or platform does not fill the log.
const (
	logPeriod   = 10 * time.Second
	linesBefore = 5
	oneInAfter  = 1000
)

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "balsamvane: log level")
	}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(e), zapcore.Lock(os.Stderr), l)
	return zap.New(zapcore.NewSamplerWithOptions(core, logPeriod, linesBefore, oneInAfter)), nil
}
