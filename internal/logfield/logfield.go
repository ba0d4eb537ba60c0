package logfield

import "go.uber.org/zap"

// Error returns a field with the message of an error. zap.Error would add the stack
// trace of every error made by the library errs.
func Error(err error) zap.Field { return zap.String("error", err.Error()) }
