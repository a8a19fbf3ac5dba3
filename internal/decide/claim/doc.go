// Package claim decides which process may dispatch a non-idempotent request.
//
// Idempotency keys are hashed into a fixed number of ranges. The owner of a
// range keeps its claims in memory and makes them durable in the store as a
// chain: a sequence of numbered pieces, each with many claims. A chain has one
// writer and one lease, under which all of its pieces are created.
//
// Invariants:
//   - A claim is granted only after the piece that holds it is known to be
//     written.
//   - A piece is created only if its number is free. A process that takes over
//     a range opens a new chain and then seals every other chain by creating a
//     seal at that chain's next number, so a former writer that was paused
//     finds its number taken. The seal is created under the sealed chain's
//     lease, so it exists for as long as that chain can be written.
//   - Every chain holds its first piece before any claim is written to it, so
//     a list shows every chain that can still be written.
//   - A list that lacks the chain just opened is stale and is not used.
//   - A claim is kept for at least Retention.
package claim
