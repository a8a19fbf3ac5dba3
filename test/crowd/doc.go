// Package crowd has clients that the operators don't control, for tests, and measures what
// processes take of their machine meanwhile: memory with what the kernel holds for their
// connections, and descriptors.
package crowd
