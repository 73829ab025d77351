// Package telemetry provides the structured logger and the Prometheus metrics of
// a daemon.
//
// # Usage
//
//	base, err := telemetry.NewLogger("info", os.Stderr)
//	log := base.Named("caller")
//	log.Info("listening", zap.String("address", address))
//	// {"level":"info",...,"msg":"caller: listening","address":...}
package telemetry

import (
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a structured logger that writes JSON lines. The name of a
// logger made with Named becomes the prefix of its messages.
func NewLogger(level string, out io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w: use debug, info, warn or error", level, err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.NameKey = ""
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), parsed)
	return zap.New(prefixCore{core}), nil
}

// prefixCore prefixes each message with the name of the logger.
type prefixCore struct{ zapcore.Core }

// With returns a core that adds the fields to each entry.
func (c prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return prefixCore{c.Core.With(fields)}
}

// Check adds the core to checked if the level of the entry is enabled.
func (c prefixCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes the entry with the prefix added to its message.
func (c prefixCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if entry.LoggerName != "" {
		entry.Message = entry.LoggerName + ": " + entry.Message
	}
	return c.Core.Write(entry, fields)
}
