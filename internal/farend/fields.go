package farend

import (
	"bytes"
	"encoding/json"
	"slices"
)

// keptFields are the names of the fields that messages have. A far end may send thousands of others in one line, which are not kept.
var keptFields = []string{"load", "note", "waited", "class", "key", "left"}

// fields are the fields of a message in their JSON form, in which values are strings or numbers.
type fields map[string]string

// UnmarshalJSON reads an object one field after another, so that the memory it takes does not depend on their number.
func (f *fields) UnmarshalJSON(b []byte) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	switch first, err := dec.Token(); {
	case err != nil:
		return err
	case first == nil:
		return nil // null stands for no fields
	case first != json.Delim('{'):
		return ErrMalformed
	}
	kept := fields{}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return err
		}
		value, err := dec.Token()
		if err != nil {
			return err
		}
		text, ok := fieldText(value)
		if !ok {
			return ErrMalformed
		}
		if name, isName := name.(string); isName && slices.Contains(keptFields, name) {
			kept[name] = text
		}
	}
	*f = kept
	return nil
}

// fieldText returns the text of a value, which is a string or a number.
func fieldText(value json.Token) (text string, ok bool) {
	switch value := value.(type) {
	case string:
		return value, true
	case json.Number:
		return value.String(), true
	}
	return "", false
}
