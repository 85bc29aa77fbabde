package store

// Disk holds the operations on the disk, for tests that observe or fail them.
var Disk = &disk
