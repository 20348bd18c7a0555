package sip

import "strings"

// AddressURI returns the URI of a From, To or Contact header field (RFC 3261, section 20.10). It stands in angle brackets behind an
// optional display name, which may be a quoted string, or alone, and then a semicolon ends it. ok is false if there is no sip or sips
// URI that can stand in a request line.
func AddressURI(value string) (uri string, ok bool) {
	uri, ok = bracketedURI(value)
	if !ok {
		uri, _, _ = strings.Cut(value, ";")
		uri = strings.TrimSpace(uri)
	}
	return uri, validURI(uri)
}

// bracketedURI returns what stands between the first angle brackets outside a quoted string.
func bracketedURI(value string) (uri string, ok bool) {
	quoted := false
	for i := 0; i < len(value); i++ {
		switch c := value[i]; {
		case quoted && c == '\\':
			i++ // the next character is escaped
		case c == '"':
			quoted = !quoted
		case c == '<' && !quoted:
			uri, _, ok = strings.Cut(value[i+1:], ">")
			return strings.TrimSpace(uri), ok
		}
	}
	return "", false
}

// validURI reports whether a sip or sips URI can stand in a request line, whose parts are separated by spaces.
func validURI(uri string) bool {
	scheme, rest, _ := strings.Cut(uri, ":")
	if !strings.EqualFold(scheme, "sip") && !strings.EqualFold(scheme, "sips") {
		return false
	}
	unsafe := func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`<>"\`, r) }
	return rest != "" && !strings.ContainsFunc(rest, unsafe)
}

// SplitList splits a header value at a separator that stands outside quoted strings, and trims the parts.
func SplitList(value string, separator byte) []string {
	var parts []string
	start, quoted := 0, false
	for i := 0; i < len(value); i++ {
		switch c := value[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case c == separator && !quoted:
			parts = append(parts, strings.TrimSpace(value[start:i]))
			start = i + 1
		}
	}
	return append(parts, strings.TrimSpace(value[start:]))
}
