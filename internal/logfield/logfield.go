package logfield

import "go.uber.org/zap"

// Error is an error's short text; the library's own field would add the whole
// stack of every classed error.
func Error(err error) zap.Field { return zap.String("error", err.Error()) }
