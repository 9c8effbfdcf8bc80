// Package survey asks every daemon on the platform's list one question and says which did not answer.
// It owns no state.
package survey
