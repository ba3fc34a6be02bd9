package testbed

import (
	"regexp"
	"strings"
)

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)

// FillTemplate returns a settings template with its values: {{name}} is replaced by the value, and sections
// stay or go as expandSections says.
func FillTemplate(template string, values map[string]string) string {
	return placeholder.ReplaceAllStringFunc(expandSections(template, values), func(p string) string {
		return values[strings.Trim(p, "{}")]
	})
}

var sectionTag = regexp.MustCompile(`\{\{([#^])([a-z0-9.-]+)\}\}`)

// expandSections keeps the text between {{#name}} and {{/name}} if the value is set and not
// "false", and the text between {{^name}} and {{/name}} otherwise.
func expandSections(text string, values map[string]string) string {
	match := sectionTag.FindStringSubmatchIndex(text)
	if match == nil {
		return text
	}
	marker, name := text[match[2]:match[3]], text[match[4]:match[5]]
	body, after, closed := strings.Cut(text[match[1]:], "{{/"+name+"}}")
	if !closed {
		return text
	}
	value := values[name]
	if present := value != "" && value != "false"; present != (marker == "#") {
		body = ""
	}
	return text[:match[0]] + expandSections(body+after, values)
}
