// Package admission decides which requests an entry process serves.
//
// Each route has an adaptive limit on its requests in flight. The limit falls
// when requests take a large share of the time until their deadlines, and grows
// while they don't and the limit is used. So a route whose pool is overloaded or
// broken throttles only its own requests, and routes that share a pool converge
// to equal shares of it. A request above the limit waits if it is expected to
// start early enough to meet its deadline, and is refused at once otherwise. The
// limits of urgent routes fall later than those of other routes, and urgent
// requests are admitted first when the process is at its own limit.
package admission
