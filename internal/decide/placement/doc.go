// Package placement decides which replica gets an attempt, from what this VM has
// seen: requests without an answer, how long replicas take against the usual,
// failures, and the load that they tell with its age.
//
// The pattern it answers: most replicas are fast and near; some pause for a
// quarter of a second, some turn many times slower, some stop answering, and
// averages tell of that too late. A replica that owes an answer for longer than
// usual, and has answered nothing since, is left alone at once.
package placement
