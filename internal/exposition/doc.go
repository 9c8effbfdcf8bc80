// Package exposition writes a daemon's metrics in the text format that monitoring systems scrape.
package exposition
