package logging

import "go.uber.org/zap"

// Error returns a field with an error's message. zap's own field adds the error's trace, which says nothing to
// operators and is many times as long.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
