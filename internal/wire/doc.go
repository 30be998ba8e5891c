// Package wire holds the messages that cross a link between nodes. The
// messages are generated from proto/boragefall.proto by protoc 27 or later, which knows
// edition 2023:
//
//	protoc --go_out=. --go_opt=module=boragefall proto/boragefall.proto
package wire
