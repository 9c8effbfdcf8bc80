package logging

import "go.uber.org/zap"

// Error returns a field with the message of an error. The field of zap.Error also contains the error's stack trace,
// which does not help operators and is many times as long.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
