// Package wire holds the messages between the processes of zinniapin, as
// generated from zinniapin.proto.
package wire

//go:generate protoc --go_out=.. --go_opt=module=zinniapin --proto_path=.. wire/zinniapin.proto
