// Package wire defines the messages between zinniapin processes, generated from
// zinniapin.proto, and converts them from and to the types of other packages.
package wire

//go:generate protoc --go_out=.. --go_opt=module=zinniapin --proto_path=.. wire/zinniapin.proto
