// Package wire holds the messages that processes of the system send to each
// other, generated from schema/wire/v1/wire.proto.
package wire

//go:generate sh -c "cd schema && buf generate"
