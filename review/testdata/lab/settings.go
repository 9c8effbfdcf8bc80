package main

import (
	"regexp"
	"strings"
)

// settingsTemplate is the template of the daemon's settings that the deploy file names.
const settingsTemplate = "deploy/entry.ini.tmpl"

var (
	section     = regexp.MustCompile(`\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/[a-z0-9.-]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// render fills in a template from fields, as far as the daemon's template uses the language of templates: values, and
// sections that are left out if there is no value or if it is false.
func render(template string, fields map[string]string) string {
	out := section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		val := fields[parts[1]]
		if val == "" || val == "false" {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", val)
	})
	return placeholder.ReplaceAllStringFunc(out, func(text string) string {
		return fields[placeholder.FindStringSubmatch(text)[1]]
	})
}

// boundsOfSmallSite are the bounds of the sheet of khangai-ger and its limits of a machine.
var boundsOfSmallSite = map[string]string{
	"bounds.grace-s":         "8",
	"bounds.retry-budget":    "0.2",
	"bounds.budget-slack":    "134",
	"bounds.budget-window-s": "10",
	"bounds.cold-excess":     "1.5",
	"bounds.cold-slack":      "5",
	"bounds.stall-ms":        "4000",
	"bounds.config-ms":       "2000",
	"bootstrap":              "true",
	"limits.memory-mb":       "284",
}
