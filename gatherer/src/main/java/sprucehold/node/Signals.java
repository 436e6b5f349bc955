package sprucehold.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/** Handlers of signals that would end the JVM otherwise. */
final class Signals {
    private Signals() {}

    /** Runs the action, on a thread of the signal's own, each time the process gets SIGHUP. */
    static void onHangUp(Runnable action) {
        // The JDK has no other way than sun.misc, and naming that is a warning that can't be turned
        // off.
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invoked =
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.invoke(action, arguments);
                    };
            signal.getMethod("handle", signal, handler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            Proxy.newProxyInstance(
                                    Signals.class.getClassLoader(),
                                    new Class<?>[] {handler},
                                    invoked));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be taken over", e);
        }
    }
}
