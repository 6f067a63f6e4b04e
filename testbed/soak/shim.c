/* Makes system calls of one process fail or transfer single bytes, delays its writes, steps its
 * wall clock, and limits it to a share of a core.
 *
 * Loaded by LD_PRELOAD into processes that the tests start, and nowhere else. It is controlled
 * through a shared mapping of the file that GRADESHIFT_SHIM names. `Control` below and
 * testbed/soak/shim.py must agree on the layout of that file. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, SOCKET, CONNECT, SEND, RECV, CALLS };

typedef struct {
    int32_t error;      /* errno to fail with; 0: the call succeeds */
    int32_t remaining;  /* failures still to inject; below 0: no limit */
    int32_t failures;   /* failures injected so far */
    int32_t short_io;   /* 1: each send or recv transfers one byte */
} Call;

typedef struct {
    Call calls[CALLS];
    int32_t stall_ms;            /* delay before each send */
    int32_t stalls_remaining;    /* sends still to delay */
    int64_t wall_step_ms;        /* offset of the wall clock */
    int32_t core_share_permille; /* share of one core; 0: no limit */
} Control;

static Control *control;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("GRADESHIFT_SHIM");
    if (!path) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapping = mmap(NULL, sizeof(Control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapping != MAP_FAILED) control = mapping;
    close(fd);
}

static int inject_failure(int call_index) {
    if (!control) return 0;
    Call *call = &control->calls[call_index];
    if (!call->error || !call->remaining) return 0;
    if (call->remaining > 0) call->remaining--;
    call->failures++;
    errno = call->error;
    return 1;
}

static size_t transfer_size(int call_index, size_t size) {
    return control && control->calls[call_index].short_io && size > 1 ? 1 : size;
}

static void delay_write(void) {
    if (!control || control->stalls_remaining <= 0) return;
    control->stalls_remaining--;
    struct timespec span = {control->stall_ms / 1000, (long)(control->stall_ms % 1000) * 1000000L};
    nanosleep(&span, NULL);
}

#define MIN_SLEEP_NS 1000000L /* shorter sleeps are deferred to a later call */

/* Sleeps for as long as a process with this share of a core would have waited for the core since
 * the last call. The send, recv and epoll calls of an event loop all pass here, so a long callback
 * takes its processor time divided by the share. */
static void throttle_to_core_share(void) {
    static __thread int64_t accounted_ns = -1, debt_ns;
    int32_t permille = control ? control->core_share_permille : 0;
    if (permille <= 0 || permille >= 1000) return;
    struct timespec used;
    if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used)) return;
    int64_t now_ns = used.tv_sec * 1000000000LL + used.tv_nsec;
    if (accounted_ns >= 0) debt_ns += (now_ns - accounted_ns) * (1000 - permille) / permille;
    accounted_ns = now_ns; /* the program's start, before the first call, is free */
    if (debt_ns < MIN_SLEEP_NS) return;
    struct timespec span = {debt_ns / 1000000000L, debt_ns % 1000000000L};
    while (nanosleep(&span, &span) && errno == EINTR) {}
    debt_ns = 0;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    REAL(accept4);
    return inject_failure(ACCEPT) ? -1 : real(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
    REAL(accept);
    return inject_failure(ACCEPT) ? -1 : real(fd, address, length);
}

int socket(int family, int type, int protocol) {
    REAL(socket);
    return family == AF_INET && inject_failure(SOCKET) ? -1 : real(family, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return address->sa_family == AF_INET && inject_failure(CONNECT)
        ? -1 : real(fd, address, length);
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    REAL(send);
    delay_write();
    throttle_to_core_share();
    return inject_failure(SEND) ? -1 : real(fd, data, transfer_size(SEND, size), flags);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(recv);
    throttle_to_core_share();
    return inject_failure(RECV) ? -1 : real(fd, data, transfer_size(RECV, size), flags);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout_ms) {
    REAL(epoll_wait);
    throttle_to_core_share();
    return real(fd, events, max_events, timeout_ms);
}

int epoll_pwait(int fd, struct epoll_event *events, int max_events, int timeout_ms,
                const sigset_t *signals) {
    REAL(epoll_pwait);
    throttle_to_core_share();
    return real(fd, events, max_events, timeout_ms, signals);
}

static void add_wall_step(struct timespec *time) {
    int64_t ms = control ? control->wall_step_ms : 0;
    time->tv_sec += ms / 1000;
    time->tv_nsec += (ms % 1000) * 1000000L;
    if (time->tv_nsec >= 1000000000L) { time->tv_sec++; time->tv_nsec -= 1000000000L; }
    if (time->tv_nsec < 0) { time->tv_sec--; time->tv_nsec += 1000000000L; }
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (!result && clock == CLOCK_REALTIME) add_wall_step(time);
    return result;
}

int gettimeofday(struct timeval *restrict value, void *restrict zone) {
    (void)zone;
    struct timespec time;
    if (clock_gettime(CLOCK_REALTIME, &time)) return -1;
    value->tv_sec = time.tv_sec;
    value->tv_usec = time.tv_nsec / 1000;
    return 0;
}
