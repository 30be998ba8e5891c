package link

import (
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// isValidText reports whether all text of a message is UTF-8.
func isValidText(m proto.Message) bool {
	valid := true
	eachText(m.ProtoReflect(), func(text string) string {
		valid = valid && utf8.ValidString(text)
		return text
	})
	return valid
}

// withValidText returns a copy of a message whose text has replacement characters in place
// of bytes that are not UTF-8.
func withValidText(m proto.Message) proto.Message {
	valid := proto.Clone(m)
	eachText(valid.ProtoReflect(), func(text string) string {
		return strings.ToValidUTF8(text, string(utf8.RuneError))
	})
	return valid
}

// eachText replaces each text of a message by what replace returns for it, if that differs.
func eachText(m protoreflect.Message, replace func(string) string) {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList():
			eachTextOfList(field, value.List(), replace)
		case field.Kind() == protoreflect.StringKind:
			if text := value.String(); replace(text) != text {
				m.Set(field, protoreflect.ValueOfString(replace(text)))
			}
		case field.Message() != nil:
			eachText(value.Message(), replace)
		}
		return true
	})
}

func eachTextOfList(field protoreflect.FieldDescriptor, list protoreflect.List, replace func(string) string) {
	for i := range list.Len() {
		switch {
		case field.Kind() == protoreflect.StringKind:
			if text := list.Get(i).String(); replace(text) != text {
				list.Set(i, protoreflect.ValueOfString(replace(text)))
			}
		case field.Message() != nil:
			eachText(list.Get(i).Message(), replace)
		default:
			return
		}
	}
}
